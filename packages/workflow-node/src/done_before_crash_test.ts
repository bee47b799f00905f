/**
 * Guards against giving up harmless work: its runs complete some milliseconds before
 * their endpoints crash, too late to report that, and count as certainly under way.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Run time of the task, in ms; its estimate is longer. */
const RUN_MS = 379;
/** Time from the start of a run to the crash of its endpoint, in ms. */
const CRASH_MS = 393;
/** Estimated run time of the task, in ms. */
const ESTIMATE_MS = 1000;
/** Time from a crash to the return of the endpoint, in ms. */
const RESTART_DELAY_MS = 300;
/** Runs whose endpoint crashes; only the last one is still under way then. */
const CRASHED_RUNS = 3;
const TIMEOUT_MS = 30_000;

vitest.describe("a run that completes just before its endpoint crashes", () => {
  vitest.it("is not certainly under way", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1] });
    const { workers, clock } = fleet;
    fleet.keepsIds = true;
    fleet.restartDelayMs = RESTART_DELAY_MS;
    let started = 0;
    workers.behave = (_, endpoint) => {
      started++;
      if (started > CRASHED_RUNS) return { runMs: RUN_MS, fails: false };
      const crash = Effect.sync(() => workers.crash(endpoint));
      Effect.runFork(Effect.andThen(clock.sleep(CRASH_MS), crash));
      const isLast = started === CRASHED_RUNS;
      return { runMs: isLast ? TIMEOUT_MS : RUN_MS, fails: false };
    };
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: ESTIMATE_MS })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.until(
      () => Workflow.isFinal(fleet.state(ID) ?? Workflow.WorkflowState.Queued),
      TIMEOUT_MS,
    );
    const ends = workers.runs.slice(0, CRASHED_RUNS).map(({ how }) => how);
    vitest.expect(ends).toEqual(["done", "done", "crashed"]);
    vitest.expect(TestUtils.checkFailedWorkflow(fleet, ID)).toEqual([]);
    await fleet.stop();
  });
});
