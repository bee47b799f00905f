/** State of a workflow as callers read it. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 1000;

vitest.describe("state", () => {
  vitest.it(
    "is returned at once, and final once the end is stored",
    async () => {
      const fleet = new TestUtils.TestFleet();
      fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
      await fleet.start();
      await fleet.submit("node-1", ID);
      await fleet.until(() => fleet.workers.runs.length === 1);
      const askedAtMs = fleet.clock.monotonicMs();
      const during = await fleet.requestState("node-2", ID);
      vitest.expect(during).toBe(Workflow.WorkflowState.Running);
      // The fake store answers instantly, so any wait would advance the clock.
      vitest.expect(fleet.clock.monotonicMs()).toBe(askedAtMs);
      await fleet.until(() =>
        fleet.state(ID) === Workflow.WorkflowState.Completed
      );
      const after = await fleet.requestState("node-2", ID);
      vitest.expect(after).toBe(Workflow.WorkflowState.Completed);
      await fleet.stop();
    },
  );
});
