/**
 * Guards against waiting for a hanging poll when a gang breaks or urgent work replaces
 * other work. A poll that waits for ends at a member's endpoint gets no answer; another
 * member ends, and all are stopped; the endpoint answers the stop and ends the run, but
 * has no poll to report it on. Unless the coordinator polls again after the answered
 * stop, a broken gang restarts 1.3 to 2.0 s later, where stops take 0.2 s and a poll
 * over another connection reports the end in some 15 ms.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const URGENT_ID = "a000000000000002";
const SIZE = 3;
/** Time for a stop (0.5 s here), its answer and a plan, but no hanging poll, in ms. */
const TIMEOUT_MS = 1000;

/** Starts work; one poll of the endpoint of its first task hangs. */
async function startWithHangingPoll(
  workers: readonly number[],
  gang: boolean,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers });
  fleet.workers.behave = () => ({ runMs: 30_000, fails: false });
  await fleet.start();
  const steps = [
    TestUtils.buildStep({ count: SIZE, gang, estimateMs: 30_000 }),
  ];
  await fleet.submit("node-1", ID, { steps, priority: 2 });
  await fleet.until(() => fleet.workers.runs.length === SIZE);
  await fleet.clock.advance(1000);
  const [{ worker }] = fleet.workers.runs;
  let hasHung = false;
  fleet.workers.decideOutcome = (endpoint, order) => {
    if (hasHung || endpoint !== worker || order !== "renew") {
      return StandIns.OrderOutcome.Delivered;
    }
    hasHung = true;
    return StandIns.OrderOutcome.Silent;
  };
  await fleet.until(() => hasHung);
  return fleet;
}

vitest.describe("a hanging poll", () => {
  vitest.it("does not delay a gang that has broken", async () => {
    const fleet = await startWithHangingPoll([1, 1, 1, 1, 1, 1], true);
    const [, { task }] = fleet.workers.runs;
    fleet.workers.endNow(task, "failed");
    const hasRestarted = () => fleet.workers.runs.length === 2 * SIZE;
    vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);
    await fleet.clock.advance(3000);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("does not delay urgent work that replaces other work", async () => {
    const fleet = await startWithHangingPoll([1, 1, 1], false);
    const steps = [TestUtils.buildStep({ count: SIZE, gang: true })];
    await fleet.submit("node-1", URGENT_ID, { steps, priority: 0 });
    const hasStarted = () =>
      fleet.workers.runsOf(`${URGENT_ID}.0.0.0`).length > 0;
    vitest.expect(await fleet.until(hasStarted, TIMEOUT_MS)).toBe(true);
    await fleet.clock.advance(3000);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});
