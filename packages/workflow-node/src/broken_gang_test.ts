/** A gang that has broken does not wait for the lease of a lost endpoint. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const MEMBERS: readonly string[] = [0, 1, 2].map((i) => `${ID}.0.0.${i}`);
/** One look that is not answered and a new plan, in ms; a lease is 6 s. */
const RESTART_TIMEOUT_MS = 3500;

/** A gang of three on three endpoints; one of them is not heard any more. */
async function startGang(attempts: number): Promise<TestUtils.TestFleet> {
  const access = TestUtils.buildAccess();
  const queues = access.queues.map((queue) => ({ ...queue, attempts }));
  const fleet = new TestUtils.TestFleet({
    workers: [1, 1, 1, 1],
    config: { ...access, queues },
  });
  fleet.workers.behave = () => ({ runMs: 30_000, fails: false });
  await fleet.start();
  const steps = [
    TestUtils.buildStep({ count: 3, gang: true, estimateMs: 30_000 }),
  ];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === 3);
  await fleet.clock.advance(1000);
  const [lost] = fleet.workers.runs;
  fleet.workers.carry = (endpoint) =>
    endpoint === lost.worker
      ? StandIns.OrderFate.Lost
      : StandIns.OrderFate.Carried;
  return fleet;
}

/** Whether all members run again within this time. */
function restartsWithin(
  fleet: TestUtils.TestFleet,
  timeoutMs: number,
): Promise<boolean> {
  return fleet.until(() => fleet.workers.runs.length === 6, timeoutMs);
}

vitest.describe("a gang with a member on an endpoint that is not heard", () => {
  vitest.it("starts again as soon as it has broken", async () => {
    const fleet = await startGang(3);
    for (const task of MEMBERS) fleet.workers.endNow(task, "broken");
    vitest.expect(await restartsWithin(fleet, RESTART_TIMEOUT_MS)).toBe(true);
    await fleet.stop();
  });

  vitest.it("runs on while no other member has ended", async () => {
    const fleet = await startGang(3);
    vitest.expect(await restartsWithin(fleet, RESTART_TIMEOUT_MS)).toBe(false);
    await fleet.stop();
  });

  vitest.it("waits where the silent end may be the last attempt", async () => {
    const fleet = await startGang(1);
    for (const task of MEMBERS) fleet.workers.endNow(task, "broken");
    vitest.expect(await restartsWithin(fleet, RESTART_TIMEOUT_MS)).toBe(false);
    await fleet.stop();
  });
});
