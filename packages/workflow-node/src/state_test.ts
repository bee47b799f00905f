/** What callers are told of a workflow's state. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 1000;

vitest.describe("state", () => {
  vitest.it("tells of an end whose record is on its way", async () => {
    const fleet = new TestUtils.TestFleet();
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID);
    await fleet.until(() => fleet.workers.runs.length === 1);
    const [run] = fleet.workers.runs;
    const endsAtMs = run.startedAtMs + RUN_MS;
    await fleet.clock.advance(endsAtMs - 10 - fleet.clock.monotonicMs());
    vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Running);
    const state = await fleet.ask("node-2", ID);
    vitest.expect(state).toBe(Workflow.WorkflowState.Completed);
    await fleet.stop();
  });
});
