/**
 * Guards against a sixth start of a task that crashes its endpoints; five are allowed.
 * Each crash coincides with a takeover, the endpoint returns under another id, and its
 * old entry expires before the next coordinator reads it. Unless the record of the run
 * holds the endpoint's address, that coordinator can't call it, and the crash is never
 * counted. Found by random faults (rebirths, seed 150).
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHING_ID = "c000000000000001";
/** Too long for any run to complete during the test, in ms. */
const RUN_MS = 60_000;
const CRASHES_AFTER_MS = 400;
/** Time from a crash until the coordinator is killed, in ms: the endpoint is back. */
const KILL_AFTER_MS = 2500;
const TIMEOUT_MS = 120_000;

vitest.describe("a crash whose endpoint is no longer listed", () => {
  vitest.it("is counted by the next coordinator", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
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
    for (let crash = 1; crash <= 8 && !isOver(); crash++) {
      await fleet.until(() => isOver() || crashes() >= crash, TIMEOUT_MS);
      await fleet.clock.advance(KILL_AFTER_MS);
      const coordinator = fleet.coordinator();
      if (coordinator === null || !fleet.boxes.has(coordinator)) continue;
      await fleet.kill(coordinator);
      fleet.startBox(`${coordinator}+`);
    }
    const hasFailed = await fleet.until(isOver, TIMEOUT_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(hasFailed).toBe(true);
    await fleet.stop();
  });
});
