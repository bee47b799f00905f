/**
 * Guards against repeating completed work when an endpoint reports a run as done after
 * the coordinator has already treated that run as lost.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const TASK = `${ID}.0.0.0`;
/** Longer than the test, in ms. */
const NEVER_MS = 600_000;
/** Delivery delay of a late order, in ms; matches `LATE_MS` of the stand-in. */
const LATE_START_DELAY_MS = 2500;
const RUN_MS = 500;
/** Attempts to send the start of run 1; the next start sent is that of run 2. */
const FIRST_RUN_TRIES = 2;

const { Delivered, Late, Lost } = StandIns.OrderOutcome;

vitest.describe("a run that was treated as lost", () => {
  vitest.it("is not repeated if it is later reported as done", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1] });
    const { workers, clock } = fleet;
    fleet.keepsIds = true;
    fleet.restartDelayMs = NEVER_MS;
    workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    let firstSentAtMs: number | null = null;
    let starts = 0;
    workers.decideOutcome = (_, order) => {
      if (order !== "start") return Delivered;
      firstSentAtMs ??= clock.monotonicMs();
      return starts++ < FIRST_RUN_TRIES ? Late : Lost;
    };
    await fleet.submit("node-1", ID, {
      steps: [TestUtils.buildStep({ estimateMs: RUN_MS })],
    });
    await fleet.until(() => starts > FIRST_RUN_TRIES);
    // The restarted endpoint gets the late start and is unreachable until its run ends.
    workers.crash("worker-0");
    workers.decideOutcome = () => Lost;
    fleet.restartUnderSameId({ id: "worker-0", accelerators: 1 });
    const deliveredAtMs = (firstSentAtMs ?? 0) + LATE_START_DELAY_MS;
    await clock.advance(deliveredAtMs + 2 * RUN_MS - clock.monotonicMs());
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    workers.decideOutcome = () => Delivered;
    const isCompleted = () =>
      fleet.state(ID) === Workflow.WorkflowState.Completed;
    vitest.expect(await fleet.until(isCompleted)).toBe(true);
    await clock.advance(2 * RUN_MS);
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});
