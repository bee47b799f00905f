/** A start that an endpoint refuses is rescheduled without delay. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const LONG_ID = "a000000000000001";
const URGENT_ID = "a000000000000002";
/**
 * Time for a poll and another start, in ms; a poll that waits for changes takes 600.
 */
const MAX_RESCHEDULE_MS = 250;

vitest.describe("a start that is refused", () => {
  vitest.it("is rescheduled at once", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [2, 2] });
    fleet.workers.behave = () => ({ runMs: 60_000, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ count: 2, estimateMs: 60_000 })];
    await fleet.submit("node-1", LONG_ID, { steps });
    await fleet.until(() => fleet.workers.runs.length === 2);
    // From now on, the polls of both endpoints wait for changes.
    await fleet.clock.advance(2000);
    let refusedAtMs: number | null = null;
    fleet.workers.decideOutcome = (_, order) => {
      if (order !== "start" || refusedAtMs !== null) {
        return StandIns.OrderOutcome.Delivered;
      }
      refusedAtMs = fleet.clock.monotonicMs();
      return StandIns.OrderOutcome.NoRoom;
    };
    await fleet.submit("node-1", URGENT_ID, { priority: 0 });
    const task = `${URGENT_ID}.0.0.0`;
    await fleet.until(() => fleet.workers.runsOf(task).length > 0);
    const [run] = fleet.workers.runsOf(task);
    const elapsedMs = run.startedAtMs - (refusedAtMs ?? 0);
    vitest.expect(elapsedMs).toBeLessThan(MAX_RESCHEDULE_MS);
    await fleet.stop();
  });
});
