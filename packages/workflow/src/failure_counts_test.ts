/** Guards against leaving runs of unknown outcome while too many crashes are possible. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as failureCounts from "./failure_counts.ts";
import * as budgets from "./restart_budget.ts";
import * as workflows from "./workflow.ts";

vitest.describe("the highest crash count of a gang", () => {
  vitest.it("includes crashes at which no run was confirmed", () => {
    const workflow = new workflows.Workflow({
      id: "a000000000000001",
      tenant: "hana",
      policy: TestUtils.buildAccess().queues[1],
      payload: "",
      steps: [TestUtils.buildStep({ count: 2, gang: true })],
      schedule: null,
      acceptedAtMs: 0,
    });
    const [first, second] = workflow.tasks;
    first.crashes = { ...budgets.NO_CRASHES, laid: 1 };
    second.crashes = { ...budgets.NO_CRASHES, unseen: 2 };
    vitest.expect(failureCounts.highestCrashCount([first, second])).toBe(
      second.crashes,
    );
  });
});
