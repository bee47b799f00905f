/** Only runs that would not finish on a draining endpoint are moved off it. */
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

vitest.describe("findRunsToMove", () => {
  vitest.it(
    "moves a run that needs much longer than the endpoint stays",
    () => {
      const run = buildRun({});
      vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([run.task]);
    },
  );

  vitest.it("keeps a run that ends in time", () => {
    const run = buildRun({ percent: 50 });
    vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([]);
  });

  vitest.it("assumes a longer stay only for runs without checkpoints", () => {
    const close = { ranMs: 4000, percent: 50 };
    const plain = buildRun(close);
    const saved = buildRun(close, { checkpoints: true });
    vitest.expect(leavingRuns.findRunsToMove([plain, saved])).toEqual([
      saved.task,
    ]);
  });

  vitest.it("moves a lasting task at once, because it never ends", () => {
    const run = buildRun({ leavesInMs: 60_000 }, { lasting: true });
    vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([run.task]);
  });

  vitest.it("uses the estimate while there is little progress", () => {
    const run = buildRun({ ranMs: 100, percent: 0 });
    vitest.expect(leavingRuns.findRunsToMove([run])).toEqual([run.task]);
  });
});
