/**
 * When work is given up. Users allow it where two endpoints crashed under a task with
 * its run truly there, and allow two starts after a third crash.
 *
 * Good work was shown as failed: one sure crash and two likely ones sufficed, and the
 * likely ones were runs that were done and not told of when their endpoints ended. The
 * evidence: random plays (lapses, seed 10; rebirths, seeds 174 and 187).
 *
 * Work that crashes its endpoints was started three times after its third crash: starts
 * that were stopped or yielded in between were starts as well, and counted nothing. The
 * evidence: random plays (rebirths, seeds 122 and 123).
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as budgets from "./restart_budget.ts";
import * as records from "./progress_record.ts";
import * as tasks from "./task.ts";
import * as workflows from "./workflow.ts";
import * as states from "./workflow_state.ts";

const { Certain, Likely, Unknown } = budgets.Presence;
/** The run is stopped by its coordinator. */
const Stopped = "stopped";
type End = budgets.Presence | typeof Stopped;

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

/** Plays ends of one task after another; returns whether it was given up. */
function play(
  ends: readonly End[],
  { wasAlone = true, workflow = build() } = {},
): boolean {
  const [task] = workflow.tasks;
  const { fellows } = budgets.NO_EVIDENCE;
  for (const end of ends) {
    const run = task.run + 1;
    task.place("i-1", run, 0);
    const known = { run, checkpoint: "" };
    const { Crashed, Stopped: How } = tasks.RunEnd;
    workflow.endRun(
      task,
      end === Stopped ? { ...known, how: How } : {
        ...known,
        how: Crashed,
        crash: { wasAlone, fellows, presence: end },
      },
      0,
    );
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

vitest.describe("starts after a third crash", () => {
  const beside = { wasAlone: false };

  vitest.it("count though a stop ended them", () => {
    const three: End[] = [Certain, Certain, Unknown];
    vitest.expect(play([...three, Certain], beside)).toBe(false);
    vitest.expect(play([...three, Stopped, Certain], beside)).toBe(true);
  });

  vitest.it("show nothing where a stop ended them", () => {
    const ends: End[] = [Unknown, Likely, Certain, Stopped, Unknown];
    vitest.expect(play(ends, beside)).toBe(false);
  });

  vitest.it("are spent by two stops where crashes are sure", () => {
    vitest.expect(play([Certain, Certain, Unknown, Stopped, Stopped], beside))
      .toBe(true);
    vitest.expect(play([Certain, Likely, Unknown, Stopped, Stopped], beside))
      .toBe(false);
  });

  vitest.it("are not spent by stops before it", () => {
    const ends: End[] = [Stopped, Certain, Stopped, Certain, Stopped, Unknown];
    vitest.expect(play([...ends, Certain], beside)).toBe(false);
  });

  /** The crash of the first run is not known: a takeover lost it (usual, seed 3). */
  vitest.it("count though their ends are not known", () => {
    const workflow = build();
    const [task] = workflow.tasks;
    const end = { task, run: 0, worker: "i-1", bornMs: null };
    workflow.suspectGone({ ...end, presence: Likely });
    const ends: End[] = [Unknown, Likely, Certain];
    vitest.expect(play(ends, { ...beside, workflow })).toBe(false);
    vitest.expect(play([Certain], { ...beside, workflow })).toBe(true);
  });

  vitest.it("are known to the next coordinator", () => {
    const workflow = build();
    play([Certain, Certain, Unknown, Stopped], { ...beside, workflow });
    const record = JSON.parse(JSON.stringify(records.toProgress(workflow)));
    const next = build();
    records.applyProgress(next, record);
    vitest.expect([...next.tasks][0].spentStarts).toBe(1);
    vitest.expect(play([Certain], { ...beside, workflow: next })).toBe(true);
  });

  vitest.it("hold the task back once they are spent", () => {
    vitest.expect(budgets.holdMs(4)).toBe(0);
    vitest.expect(budgets.holdMs(4, 1)).toBe(budgets.holdMs(5));
  });

  vitest.it("are as before where a doubt is withdrawn", () => {
    const workflow = build();
    const [task] = workflow.tasks;
    play([Certain, Unknown], { ...beside, workflow });
    task.place("i-1", 3, 0);
    const end = { task, run: 3, worker: "i-1", bornMs: null };
    workflow.suspectGone({ ...end, presence: Likely });
    workflow.endRun(
      task,
      { run: 3, how: tasks.RunEnd.Lost, checkpoint: "" },
      0,
    );
    play([Stopped], { ...beside, workflow });
    vitest.expect(task.spentStarts).toBe(1);
    workflow.openEnds.close(task, 3);
    vitest.expect(task.spentStarts).toBe(0);
  });
});
