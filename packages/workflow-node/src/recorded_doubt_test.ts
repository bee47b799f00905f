/**
 * A task that crashes its endpoints was started once more than allowed: its endpoint was
 * not heard, the lease of the run ran out, and a takeover came before the endpoint was
 * back. Nothing had recorded the run as one whose end is not known, so the crash that the
 * next life showed counted nothing. The evidence: a random play (rebirths, seed 191).
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHING_ID = "c000000000000001";
/** Long enough that nobody takes a run for done, in ms. */
const RUN_MS = 60_000;
const CRASHES_AFTER_MS = 400;
/** Endpoints are back after the lease (6 s) and a takeover, in ms. */
const RESTART_DELAY_MS = 12_000;
/** After a crash, in ms: the lease has run out, and the endpoint is not back. */
const KILL_AFTER_MS = 8000;
const TIMEOUT_MS = 240_000;

vitest.describe("a crash whose run was over for its lease", () => {
  vitest.it("counts for the next coordinator", async () => {
    const sizes = Array.from({ length: 12 }, () => 1);
    const fleet = new TestUtils.TestFleet({ workers: sizes });
    fleet.keepsIds = true;
    fleet.workers.atDeadAddress = StandIns.DeadAddress.Silent;
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
    // The first crash is seen, so that the task is in doubt.
    fleet.crashBackMs = 1000;
    await fleet.until(() => crashes() >= 1, TIMEOUT_MS);
    await fleet.clock.advance(1);
    fleet.crashBackMs = RESTART_DELAY_MS;
    for (let crash = 2; crash <= 8 && !isOver(); crash++) {
      await fleet.until(() => isOver() || crashes() >= crash, TIMEOUT_MS);
      await fleet.clock.advance(KILL_AFTER_MS);
      const coordinator = fleet.coordinator();
      if (coordinator === null || !fleet.nodes.has(coordinator)) continue;
      await fleet.kill(coordinator);
      fleet.startNode(`${coordinator}+`);
      // What ended with the former life is known before the next start.
      await fleet.clock.advance(RESTART_DELAY_MS);
    }
    const hasFailed = await fleet.until(isOver, TIMEOUT_MS);
    vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
    vitest.expect(hasFailed).toBe(true);
    await fleet.stop();
  });
});
