/**
 * Workflows record which runs counted towards giving up a task, and on what
 * evidence.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as records from "./progress_record.ts";
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import type * as spec from "./spec.ts";
import * as tasks from "./task.ts";
import * as workflows from "./workflow.ts";

const { CountedAs, RunEvidence } = histories;
const { Presence } = budgets;
const { Crashed, Failed, Lost } = tasks.RunEnd;
/** Maximum number of entries of one task, as in the module. */
const MAX_ENTRIES = 12;
/** Characters that fit into one row of the store, in its own encoding. */
const ROW_CHARS = 48_000;
/** Length of the platform's endpoint ids, in characters. */
const ENDPOINT_ID_CHARS = 12;

function build(
  steps: readonly spec.StepSpec[] = [TestUtils.buildStep()],
): workflows.Workflow {
  return new workflows.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps,
    schedule: null,
    acceptedAtMs: 0,
  });
}

function taskOf(workflow: workflows.Workflow, key = "0.0.0"): tasks.Task {
  const task = workflow.task(key);
  if (task === undefined) throw new RangeError(key);
  return task;
}

/** Places a run on an endpoint of its own and ends it. */
function runAndEnd(
  workflow: workflows.Workflow,
  run: number,
  end: Partial<workflows.RunEndDetails>,
): void {
  const task = taskOf(workflow);
  task.place(`i-${run}`, run, 0);
  workflow.endRun(task, { run, how: Lost, checkpoint: "", ...end }, 0);
}

function crash(
  presence: budgets.Presence,
  scale = budgets.CrashScale.Few,
): Partial<workflows.RunEndDetails> {
  const evidence = { wasAlone: false, scale, presence };
  return { how: Crashed, crash: evidence };
}

/** Evidence and count of each run of a task. */
function assessments(workflow: workflows.Workflow): unknown[] {
  return taskOf(workflow).history.entries.map((
    { run, evidence, counted },
  ) => [run, evidence, counted]);
}

/** The workflow as the next coordinator restores it from its row. */
function restore(
  workflow: workflows.Workflow,
  steps?: readonly spec.StepSpec[],
): workflows.Workflow {
  const stored = JSON.parse(JSON.stringify(records.toProgressRecord(workflow)));
  const restored = build(steps);
  records.applyProgressRecord(restored, stored);
  return restored;
}

vitest.describe("the history of a task", () => {
  vitest.it(
    "records the evidence for each crash and what it counted as",
    () => {
      const workflow = build();
      runAndEnd(
        workflow,
        1,
        crash(Presence.Certain, budgets.CrashScale.Several),
      );
      runAndEnd(workflow, 2, crash(Presence.Likely));
      runAndEnd(workflow, 3, crash(Presence.Unknown));
      runAndEnd(
        workflow,
        4,
        crash(Presence.Unknown, budgets.CrashScale.Many),
      );
      runAndEnd(workflow, 5, { how: Failed });
      vitest.expect(assessments(workflow)).toEqual([
        [1, RunEvidence.Confirmed, CountedAs.Excused],
        [2, RunEvidence.Likely, CountedAs.Crash],
        [3, RunEvidence.Unconfirmed, CountedAs.PossibleCrash],
        [4, RunEvidence.Unconfirmed, CountedAs.Excused],
        [5, RunEvidence.Reported, CountedAs.Failure],
      ]);
      vitest.expect(taskOf(workflow).history.entries[0].endpoint).toBe("i-1");
    },
  );

  vitest.it("omits runs that can not count", () => {
    const workflow = build();
    const { Stopped, Lapsed, GangBroken, GangIncomplete } = tasks.RunEnd;
    [Stopped, Lapsed, GangBroken, GangIncomplete, Lost].forEach((how, i) =>
      runAndEnd(workflow, i + 1, { how })
    );
    vitest.expect(assessments(workflow)).toEqual([]);
  });

  vitest.it("marks a crash that is excused later", () => {
    const workflow = build();
    runAndEnd(workflow, 1, crash(Presence.Certain));
    runAndEnd(workflow, 2, crash(Presence.Certain));
    workflow.excuseCrash(taskOf(workflow), 2, {
      scale: budgets.CrashScale.Several,
      presence: Presence.Certain,
    });
    vitest.expect(assessments(workflow)).toEqual([
      [1, RunEvidence.Confirmed, CountedAs.Crash],
      [2, RunEvidence.Confirmed, CountedAs.Excused],
    ]);
  });

  vitest.it(
    "updates a run whose endpoint is neither reachable nor listed",
    () => {
      const workflow = build();
      runAndEnd(workflow, 1, { isUnresolved: true });
      vitest.expect(assessments(workflow))
        .toEqual([[1, RunEvidence.GangEnded, CountedAs.Nothing]]);
      const task = taskOf(workflow);
      const presence = Presence.Certain;
      workflow.markRunGone({
        task,
        run: 1,
        endpoint: "i-1",
        bornMs: null,
        presence,
      });
      vitest.expect(assessments(workflow))
        .toEqual([[1, RunEvidence.Unlisted, CountedAs.Nothing]]);
      const report = { run: 1, endpoint: "i-1", checkpoint: "" };
      workflow.endRun(task, { ...report, how: Lost }, 0);
      vitest.expect(assessments(workflow))
        .toEqual([[1, RunEvidence.Withdrawn, CountedAs.Nothing]]);
    },
  );

  vitest.it("applies a late report of an endpoint", () => {
    const workflow = build();
    runAndEnd(workflow, 1, { isUnresolved: true });
    const report = { run: 1, endpoint: "i-1", checkpoint: "" };
    workflow.endRun(taskOf(workflow), { ...report, how: Failed }, 0);
    vitest.expect(assessments(workflow))
      .toEqual([[1, RunEvidence.Reported, CountedAs.Failure]]);
  });

  vitest.it(
    "records a gang's failure for all members, with its endpoint",
    () => {
      const workflow = build([TestUtils.buildStep({ count: 2, gang: true })]);
      for (const task of workflow.tasks) task.place(`i-${task.index}`, 1, 0);
      const end = { run: 1, how: Failed, checkpoint: "" };
      workflow.endRun(taskOf(workflow, "0.0.1"), end, 0);
      const [entry] = taskOf(workflow).history.entries;
      vitest.expect(entry.endpoint).toBe("i-1");
      vitest.expect(entry.counted).toBe(CountedAs.Failure);
    },
  );

  vitest.it("is cleared once a lasting task has run for long", () => {
    const workflow = build([TestUtils.buildStep({ lasting: true })]);
    runAndEnd(workflow, 1, crash(Presence.Certain));
    const task = taskOf(workflow);
    task.place("i-2", 2, 0);
    const end = { run: 2, how: Crashed, checkpoint: "" };
    workflow.endRun(task, { ...end, ...crash(Presence.Certain) }, 30_000);
    vitest.expect(task.crashes.laid).toBe(1);
    vitest.expect(assessments(workflow))
      .toEqual([[2, RunEvidence.Confirmed, CountedAs.Crash]]);
  });

  vitest.it(
    "is bounded, drops uncounted runs first and is then partial",
    () => {
      const workflow = build();
      runAndEnd(workflow, 1, crash(Presence.Certain));
      const task = taskOf(workflow);
      for (let run = 2; run <= MAX_ENTRIES + 3; run++) {
        const presence = Presence.Unknown;
        const endpoint = `i-${run}`;
        workflow.markRunGone({ task, run, endpoint, bornMs: null, presence });
      }
      const { entries, isPartial } = task.history;
      vitest.expect(entries.length).toBe(MAX_ENTRIES);
      vitest.expect(entries[0].run).toBe(1);
      vitest.expect(entries.at(-1)?.run).toBe(MAX_ENTRIES + 3);
      vitest.expect(isPartial).toBe(true);
    },
  );
});

vitest.describe("the record of a history", () => {
  vitest.it("restores the history for the next coordinator", () => {
    const workflow = build();
    runAndEnd(workflow, 1, crash(Presence.Certain));
    runAndEnd(workflow, 2, crash(Presence.Likely));
    const restored = restore(workflow);
    vitest.expect(assessments(restored)).toEqual(assessments(workflow));
    for (let run = 3; run <= 4; run++) {
      runAndEnd(restored, run, crash(Presence.Certain));
    }
    vitest.expect(restored.giveUp?.history?.entries.map(({ run }) => run))
      .toEqual([1, 2, 3, 4]);
    vitest.expect(restored.giveUp?.history?.isPartial).toBe(false);
    vitest.expect(restore(restored).giveUp).toEqual(restored.giveUp);
  });

  vitest.it("is omitted if there is no history", () => {
    const workflow = build();
    taskOf(workflow).place("i-1", 1, 0);
    const record = records.toProgressRecord(workflow);
    vitest.expect(record.histories).toBeUndefined();
    vitest.expect(record.hasLeftOutHistories).toBeUndefined();
  });

  vitest.it(
    "of an earlier version is partial and its give-up is restored",
    () => {
      const workflow = build();
      for (let run = 1; run <= 3; run++) {
        runAndEnd(workflow, run, crash(Presence.Certain));
      }
      const { histories: _, ...earlier } = records.toProgressRecord(workflow);
      const restored = build();
      records.applyProgressRecord(restored, earlier);
      runAndEnd(restored, 4, crash(Presence.Certain));
      vitest.expect(restored.giveUp?.history?.isPartial).toBe(true);
      vitest.expect(assessments(restored).length).toBe(1);
      const { giveUp, ...ended } = records.toProgressRecord(restored);
      if (giveUp === undefined) throw new RangeError("not given up");
      const { history: __, ...rest } = giveUp;
      const last = build();
      records.applyProgressRecord(last, { ...ended, giveUp: rest });
      vitest.expect(last.giveUp).toEqual({ ...rest, history: null });
      vitest.expect(records.toProgressRecord(last).giveUp).toEqual(rest);
    },
  );

  vitest.it("fits into one row, however many tasks have a history", () => {
    const count = 2 * workflows.MAX_PLACED_TASKS;
    const steps = [TestUtils.buildStep({ count, checkpoints: true })];
    const workflow = build(steps);
    for (const task of workflow.tasks) {
      const endpoint = `i-${task.index}`.padEnd(ENDPOINT_ID_CHARS, "0");
      if (task.index < workflows.MAX_PLACED_TASKS) task.place(endpoint, 9, 0);
      else task.run = 9;
      task.checkpoint = "0123456789abcdef";
      task.crashes = { laid: 2, excused: 1, presence: 4, unseen: 1 };
      task.confirmedRun = 9;
      for (let run = 1; run <= 4; run++) {
        const ended = { run, endpoint, how: Lost };
        task.addHistoryEntry(
          histories.uncountedEntry(ended, RunEvidence.Unlisted),
        );
      }
    }
    const worst = taskOf(workflow, "0.0.7");
    worst.failures = 2;
    const record = records.toProgressRecord(workflow);
    vitest.expect(JSON.stringify(record).length).toBeLessThan(ROW_CHARS);
    vitest.expect(record.hasLeftOutHistories).toBe(true);
    const restored = restore(workflow, steps);
    vitest.expect(taskOf(restored, "0.0.7").history).toEqual(worst.history);
    vitest.expect(taskOf(restored, "0.0.999").history.isPartial).toBe(true);
    const third = restore(restored, steps);
    vitest.expect(taskOf(third, "0.0.999").history.isPartial).toBe(true);
  });
});
