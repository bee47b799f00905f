/**
 * Guards against one start too many of a task that crashes its endpoints. The endpoint
 * does not answer, the lease of the run expires, and a takeover follows before the
 * endpoint is back. Unless the run is recorded as one with an unknown end, the crash
 * that the next incarnation reveals is not counted. Found by random faults (rebirths,
 * seed 191).
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHING_ID = "c000000000000001";
/** Too long for any run to complete during the test, in ms. */
const RUN_MS = 60_000;
const CRASHES_AFTER_MS = 400;
/** Restart time of an endpoint, in ms: longer than a lease (6 s) and a takeover. */
const RESTART_DELAY_MS = 12_000;
/** Time from a crash until the coordinator is killed, in ms: beyond the lease. */
const KILL_AFTER_MS = 8000;
const TIMEOUT_MS = 240_000;

vitest.describe("a crash whose run ended by its lease", () => {
  vitest.it("is counted by the next coordinator", async () => {
    const sizes = Array.from({ length: 12 }, () => 1);
    const fleet = new TestUtils.TestFleet({ workers: sizes });
    fleet.keepsIds = true;
    fleet.workers.atDeadAddress = StandIns.DeadAddressOutcome.Silent;
    fleet.workers.behave = () => ({
      runMs: RUN_MS,
      fails: false,
      crashesAfterMs: CRASHES_AFTER_MS,
    });
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: RUN_MS })];
    await fleet.submit("node-1", CRASHING_ID, { steps });
    const isOver = () =>
      fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed;
    const crashes = () =>
      fleet.workers.runs.filter(({ how }) => how === "crashed").length;
    // The first crash is observed, so the task becomes suspect.
    fleet.restartDelayMs = 1000;
    await fleet.until(() => crashes() >= 1, TIMEOUT_MS);
    await fleet.clock.advance(1);
    fleet.restartDelayMs = RESTART_DELAY_MS;
    for (let crash = 2; crash <= 8 && !isOver(); crash++) {
      await fleet.until(() => isOver() || crashes() >= crash, TIMEOUT_MS);
      await fleet.clock.advance(KILL_AFTER_MS);
      const coordinator = fleet.coordinator();
      if (coordinator === null || !fleet.boxes.has(coordinator)) continue;
      await fleet.kill(coordinator);
      fleet.startBox(`${coordinator}+`);
      // Lets the coordinator detect the end of the incarnation before the next start.
      await fleet.clock.advance(RESTART_DELAY_MS);
    }
    const hasFailed = await fleet.until(isOver, TIMEOUT_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(hasFailed).toBe(true);
    await fleet.stop();
  });
});
