/**
 * A gang breaks, or urgent work takes the place of other work, while the look that
 * waits at one endpoint hangs.
 *
 * Symptom: gangs that had broken began again 1.3 to 2.0 s later, where stops take 0.2 s.
 * Order: an order to the endpoint of a member gets no answer, the look that waits for
 * ends there; another member ends, and all are told to stop; the endpoint answers the
 * stop, ends the run and can't tell it.
 * Cause: nobody asked again before the look was given up, although the endpoint had
 * answered the stop.
 * Evidence: the next look, over another connection, told the end in some 15 ms.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const URGENT_ID = "a000000000000002";
const SIZE = 3;
/** A stop (0.5 s here), what an answer and a plan take, and no hanging look, in ms. */
const TIMEOUT_MS = 1000;

/** Work that runs, with the looks at the endpoint of its first task hanging once. */
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
  fleet.workers.carry = (endpoint, order) => {
    if (hasHung || endpoint !== worker || order !== "renew") {
      return StandIns.OrderFate.Carried;
    }
    hasHung = true;
    return StandIns.OrderFate.Silent;
  };
  await fleet.until(() => hasHung);
  return fleet;
}

vitest.describe("a look that hangs", () => {
  vitest.it("does not hold up a gang that has broken", async () => {
    const fleet = await startWithHangingPoll([1, 1, 1, 1, 1, 1], true);
    const [, { task }] = fleet.workers.runs;
    fleet.workers.endNow(task, "failed");
    const hasRestarted = () => fleet.workers.runs.length === 2 * SIZE;
    vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);
    await fleet.clock.advance(3000);
    vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("does not hold up urgent work that takes the place", async () => {
    const fleet = await startWithHangingPoll([1, 1, 1], false);
    const steps = [TestUtils.buildStep({ count: SIZE, gang: true })];
    await fleet.submit("node-1", URGENT_ID, { steps, priority: 0 });
    const hasStarted = () =>
      fleet.workers.runsOf(`${URGENT_ID}.0.0.0`).length > 0;
    vitest.expect(await fleet.until(hasStarted, TIMEOUT_MS)).toBe(true);
    await fleet.clock.advance(3000);
    vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
    await fleet.stop();
  });
});
