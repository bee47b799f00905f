/**
 * When work is given up. Users allow it where two endpoints crashed under a task with
 * its run truly there, and allow two starts after a third crash.
 *
 * Good work was shown as failed: one sure crash and two likely ones sufficed, and the
 * likely ones were runs that were done and not told of when their endpoints ended. The
 * evidence: random plays (lapses, seed 10; rebirths, seeds 174 and 187).
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as budgets from "./restart_budget.ts";
import * as tasks from "./task.ts";
import * as workflows from "./workflow.ts";
import * as states from "./workflow_state.ts";

const { Certain, Likely, Unknown } = budgets.Presence;

function build(): workflows.Workflow {
  return new workflows.Workflow({
    id: "w",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep()],
    schedule: null,
    acceptedAtMs: 0,
  });
}

/** Plays crashes under one task; returns whether it was given up. */
function play(
  crashes: readonly budgets.Presence[],
  { wasAlone = true } = {},
): boolean {
  const workflow = build();
  const [task] = workflow.tasks;
  const { fellows } = budgets.NO_EVIDENCE;
  for (const presence of crashes) {
    const run = task.run + 1;
    task.place("i-1", run, 0);
    const how = tasks.RunEnd.Crashed;
    const crash = { wasAlone, fellows, presence };
    workflow.endRun(task, { run, checkpoint: "", how, crash }, 0);
  }
  return workflow.state === states.WorkflowState.Failed;
}

vitest.describe("work under which endpoints crash", () => {
  vitest.it("is given up for two sure crashes among three", () => {
    vitest.expect(play([Certain, Certain])).toBe(false);
    vitest.expect(play([Certain, Certain, Likely])).toBe(true);
    vitest.expect(play([Likely, Certain, Certain])).toBe(true);
  });

  vitest.it("goes on where likely crashes stand for sure ones", () => {
    vitest.expect(play([Certain, Likely, Likely])).toBe(false);
    vitest.expect(play([Likely, Likely, Likely, Likely])).toBe(false);
    vitest.expect(play([Certain, Unknown, Likely, Likely])).toBe(false);
  });

  vitest.it("is given up after a fourth where others were beside it", () => {
    const beside = { wasAlone: false };
    const four = [Certain, Likely, Likely, Certain];
    vitest.expect(play(four.slice(0, 3), beside)).toBe(false);
    vitest.expect(play(four, beside)).toBe(true);
  });

  vitest.it("is given up after five where little shows it", () => {
    const five = [Unknown, Likely, Unknown, Likely, Likely];
    vitest.expect(play(five)).toBe(true);
    vitest.expect(play([...five.slice(0, 4), Unknown])).toBe(false);
  });
});
