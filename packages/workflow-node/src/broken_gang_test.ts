/** A broken gang restarts without waiting for the lease of a lost endpoint. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const MEMBERS: readonly string[] = [0, 1, 2].map((i) => `${ID}.0.0.${i}`);
/** Time for one unanswered poll and a new plan, in ms; a lease takes 6 s. */
const RESTART_TIMEOUT_MS = 3500;

/** Starts a gang of three on three endpoints, one of which becomes unreachable. */
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
  fleet.workers.decideOutcome = (endpoint) =>
    endpoint === lost.worker
      ? StandIns.OrderOutcome.Lost
      : StandIns.OrderOutcome.Delivered;
  return fleet;
}

/** Returns whether all members run again within this time. */
function restartsWithin(
  fleet: TestUtils.TestFleet,
  timeoutMs: number,
): Promise<boolean> {
  return fleet.until(() => fleet.workers.runs.length === 6, timeoutMs);
}

vitest.describe("a gang with a member on an unreachable endpoint", () => {
  vitest.it("restarts as soon as it has broken", async () => {
    const fleet = await startGang(3);
    for (const task of MEMBERS) fleet.workers.endNow(task, "broken");
    vitest.expect(await restartsWithin(fleet, RESTART_TIMEOUT_MS)).toBe(true);
    await fleet.stop();
  });

  vitest.it("keeps running while no other member has ended", async () => {
    const fleet = await startGang(3);
    vitest.expect(await restartsWithin(fleet, RESTART_TIMEOUT_MS)).toBe(false);
    await fleet.stop();
  });

  vitest.it("waits if the unreported end may be its last attempt", async () => {
    const fleet = await startGang(1);
    for (const task of MEMBERS) fleet.workers.endNow(task, "broken");
    vitest.expect(await restartsWithin(fleet, RESTART_TIMEOUT_MS)).toBe(false);
    await fleet.stop();
  });
});
