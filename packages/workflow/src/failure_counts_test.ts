/**
 * Guards against leaving runs of unknown outcome while too many crashes are possible, and
 * against counting the crashes of two incarnations under one run as one.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as failureCounts from "./failure_counts.ts";
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import type * as spec from "./spec.ts";
import * as taskStates from "./task_state.ts";
import * as workflows from "./workflow.ts";

/** Builds a workflow of one step. */
function build(step: Partial<spec.StepSpec> = {}): workflows.Workflow {
  return new workflows.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep(step)],
    schedule: null,
    acceptedAtMs: 0,
  });
}

vitest.describe("the highest crash count of a gang", () => {
  vitest.it("includes crashes at which no run was confirmed", () => {
    const workflow = build({ count: 2, gang: true });
    const [first, second] = workflow.tasks;
    first.crashes = { ...budgets.NO_CRASHES, laid: 1 };
    second.crashes = { ...budgets.NO_CRASHES, unseen: 2 };
    vitest.expect(failureCounts.highestCrashCount([first, second])).toBe(
      second.crashes,
    );
  });
});

vitest.describe("crashes of two incarnations under one run", () => {
  const { Likely, Unknown } = budgets.Presence;
  const { Few, Many } = budgets.CrashScale;
  const first = { wasAlone: true, scale: Few, presence: Likely, bornMs: 1 };
  const second = { wasAlone: true, scale: Few, presence: Unknown, bornMs: 2 };
  const ended = {
    run: 1,
    how: taskStates.RunEnd.Crashed,
    checkpoint: "",
    crash: second,
    earlierCrashes: [first],
  };

  function endRun() {
    const workflow = build();
    const [task] = workflow.tasks;
    task.place("i-1", 1, 0);
    workflow.endRun(task, ended, 0);
    return { workflow, task };
  }

  vitest.it("count once each", () => {
    const { workflow, task } = endRun();
    workflow.endRun(task, { ...ended, endpoint: "i-1" }, 0);
    vitest.expect(task.crashes).toMatchObject({ laid: 1, unseen: 1 });
  });

  vitest.it("are excused one by one", () => {
    const { Crash, Excused, PossibleCrash } = histories.CountedAs;
    const counted = (task: { readonly history: histories.RunHistory }) =>
      task.history.entries.map((entry) => entry.counted);
    const { workflow, task } = endRun();
    vitest.expect(counted(task)).toEqual([Crash, PossibleCrash]);
    workflow.excuseCrash(task, 1, { ...first, scale: Many });
    vitest.expect(counted(task)).toEqual([Excused, PossibleCrash]);
    workflow.excuseCrash(task, 1, { ...second, scale: Many });
    vitest.expect(counted(task)).toEqual([Excused, Excused]);
    vitest.expect(task.crashes).toMatchObject({
      laid: 0,
      unseen: 0,
      excused: 2,
    });
  });
});
