/** Runs leave a draining worker only where they would not end there. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as leavingRuns from "./leaving_runs.ts";

function buildRun(
  changes: Partial<leavingRuns.LeavingRun>,
  step: Partial<Workflow.StepSpec> = {},
): leavingRuns.LeavingRun {
  const workflow = new Workflow.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep({ estimateMs: 8000, ...step })],
    schedule: null,
    acceptedAtMs: 0,
  });
  const [task] = workflow.tasks;
  return { task, ranMs: 2000, percent: 25, leavesInMs: 3000, ...changes };
}

vitest.describe("findLeaving", () => {
  vitest.it("moves a run that needs much longer than the worker has", () => {
    const run = buildRun({});
    vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([run.task]);
  });

  vitest.it("leaves a run that ends in time", () => {
    const run = buildRun({ percent: 50 });
    vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([]);
  });

  vitest.it("bets on a longer stay only where there is no checkpoint", () => {
    const close = { ranMs: 4000, percent: 50 };
    const plain = buildRun(close);
    const saved = buildRun(close, { checkpoints: true });
    vitest.expect(leavingRuns.findRunsToMove([plain, saved])).toEqual([
      saved.task,
    ]);
  });

  vitest.it("moves a lasting task at once, for it never ends", () => {
    const run = buildRun({ leavesInMs: 60_000 }, { lasting: true });
    vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([run.task]);
  });

  vitest.it("goes by the estimate while there is little to go by", () => {
    const run = buildRun({ ranMs: 100, percent: 0 });
    vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([run.task]);
  });
});
