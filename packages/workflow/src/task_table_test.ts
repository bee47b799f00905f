/**
 * Workflows create objects only for tasks in progress, and behave as if each task had
 * one, also after their record was restored.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as fc from "fast-check";
import * as vitest from "vitest";
import * as records from "./progress_record.ts";
import * as histories from "./run_history.ts";
import type * as spec from "./spec.ts";
import * as tasks from "./task.ts";
import * as workflows from "./workflow.ts";
import * as states from "./workflow_state.ts";

const MAX_PLACED_TASKS = 500;
const MANY_TASKS = 20_000;
const EVERY_MS = 1000;

function build(
  steps: readonly spec.StepSpec[],
  rounds: number | null = null,
): workflows.Workflow {
  const schedule = rounds === null
    ? null
    : { firstAtMs: 0, everyMs: EVERY_MS, rounds };
  return new workflows.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps,
    schedule,
    acceptedAtMs: 0,
  });
}

/** Restores the record of a workflow, as the next coordinator does. */
function takeOver(workflow: workflows.Workflow): workflows.Workflow {
  const text = JSON.stringify(records.toProgressRecord(workflow));
  const next = build(workflow.spec.steps, workflow.spec.schedule?.rounds);
  records.applyProgressRecord(next, JSON.parse(text));
  return next;
}

function countMaterialized(workflow: workflows.Workflow): number {
  return [...workflow.materializedTasks].length;
}

/** Places all units that may start; returns their tasks. */
function placeReady(workflow: workflows.Workflow, wallMs: number) {
  const ready = workflow.readyUnits(wallMs).flatMap((unit) => unit.tasks);
  for (const task of ready) task.place("worker-1", task.run + 1, 0);
  return ready;
}

function end(task: tasks.Task, how: tasks.RunEnd): void {
  task.workflow.endRun(task, { run: task.run, how, checkpoint: "" }, 0);
}

vitest.describe("the tasks of a workflow", () => {
  vitest.it("take no memory before they fall due", () => {
    const workflow = build([TestUtils.buildStep({ count: 50 })], 400);
    vitest.expect(workflow.readyUnits(-1)).toEqual([]);
    vitest.expect(workflow.visibleState).toBe(states.WorkflowState.Queued);
    vitest.expect(countMaterialized(workflow)).toBe(0);
    vitest.expect(workflow.countByState()).toEqual({ waiting: MANY_TASKS });
  });

  const wide = {
    "in one step": build([TestUtils.buildStep({ count: MANY_TASKS })]),
    "in overdue rounds": build([TestUtils.buildStep()], MANY_TASKS),
    "in gangs": build(
      Array.from(
        { length: 100 },
        () => TestUtils.buildStep({ count: 200, gang: true }),
      ),
    ),
  };
  vitest.it.each(Object.entries(wide))(
    "take memory only while they are in progress: %s",
    (_name, workflow) => {
      const started = new Set<string>();
      while (workflow.state !== states.WorkflowState.Completed) {
        const ready = placeReady(workflow, MANY_TASKS * EVERY_MS);
        const count = countMaterialized(workflow);
        vitest.expect(count).toBeLessThanOrEqual(MAX_PLACED_TASKS);
        vitest.expect(ready.length).toBeGreaterThan(0);
        for (const task of ready) {
          started.add(task.key);
          end(task, tasks.RunEnd.Done);
        }
      }
      vitest.expect(started.size).toBe(MANY_TASKS);
      vitest.expect(countMaterialized(workflow)).toBe(0);
    },
  );

  vitest.it("are found by their keys, and others are not", () => {
    const workflow = build([TestUtils.buildStep({ count: 2 })], 3);
    vitest.expect(workflow.task("2.0.1")?.key).toBe("2.0.1");
    for (const key of ["3.0.0", "0.1.0", "0.0.2", "0.0", "00.0.0", "0.0.-1"]) {
      vitest.expect(workflow.task(key)).toBe(undefined);
    }
  });

  vitest.it("stay done if a late end of an earlier run is reported", () => {
    const workflow = build([TestUtils.buildStep({ count: 2 })]);
    const [first] = placeReady(workflow, 0);
    end(first, tasks.RunEnd.Stopped);
    placeReady(workflow, 0);
    end(first, tasks.RunEnd.Done);
    const found = workflow.task(first.key);
    const late = { run: 1, how: tasks.RunEnd.Crashed, checkpoint: "" };
    if (found !== undefined) workflow.endRun(found, late, 0);
    vitest.expect(found?.state).toBe(tasks.TaskState.Done);
    vitest.expect(workflow.readyUnits(0)).toEqual([]);
    vitest.expect(workflow.state).not.toBe(states.WorkflowState.Failed);
  });

  vitest.it("get higher runs after takeovers that list none of them", () => {
    const steps = [TestUtils.buildStep({ count: 3 })];
    const workflow = build(steps);
    for (const task of placeReady(workflow, 0)) {
      end(task, tasks.RunEnd.Stopped);
    }
    const next = takeOver(takeOver(workflow));
    vitest.expect(placeReady(next, 0).map(({ run }) => run)).toEqual([2, 2, 2]);
  });

  vitest.it("keep a missing history over takeovers", () => {
    const workflow = build([TestUtils.buildStep({ count: 3 })]);
    workflow.table.restoreHistory(histories.MISSING_HISTORY);
    const next = takeOver(takeOver(workflow));
    vitest.expect(next.task("0.0.2")?.history)
      .toEqual(histories.MISSING_HISTORY);
  });
});

/** What shows from outside which tasks are done, placed or ready. */
function describe(workflow: workflows.Workflow, wallMs: number) {
  return {
    state: workflow.state,
    done: records.toProgressRecord(workflow).done,
    placed: workflow.placedTasks().map(({ key }) => key).sort(),
    ready: workflow.readyUnits(wallMs).map((unit) =>
      unit.tasks.map(({ key, failures }) => ({ key, failures }))
    ),
  };
}

/** Newest run of each task. */
function runsOf(workflow: workflows.Workflow): number[] {
  return [...workflow.tasks].map(({ run }) => run);
}

vitest.describe("a restored workflow", () => {
  vitest.it("shows the same tasks as done, placed and ready", () => {
    const step = fc.record({
      count: fc.integer({ min: 1, max: 4 }),
      gang: fc.boolean(),
      isAfterFirst: fc.boolean(),
    });
    const ends = fc.constantFrom(
      tasks.RunEnd.Done,
      tasks.RunEnd.Done,
      tasks.RunEnd.Failed,
      tasks.RunEnd.Stopped,
      null,
    );
    const play = fc.record({
      steps: fc.array(step, { minLength: 1, maxLength: 3 }),
      // With more than 500 steps over all rounds, a record has one entry for all.
      rounds: fc.constantFrom(1, 3, 300),
      turns: fc.array(fc.array(ends, { maxLength: 12 }), { maxLength: 8 }),
    });
    fc.assert(
      fc.property(play, ({ steps, rounds, turns }) => {
        const stepSpecs = steps.map(({ count, gang, isAfterFirst }, i) =>
          TestUtils.buildStep({
            count,
            gang,
            after: isAfterFirst && i > 0 ? [0] : [],
          })
        );
        let workflow = build(stepSpecs, rounds);
        for (const [turn, endsOfTurn] of turns.entries()) {
          placeReady(workflow, turn * EVERY_MS);
          const placed = workflow.placedTasks();
          for (const [i, how] of endsOfTurn.entries()) {
            if (how !== null && i < placed.length) end(placed[i], how);
          }
          const before = describe(workflow, turn * EVERY_MS);
          const next = takeOver(workflow);
          const isOver = states.isFinal(workflow.state);
          const after = describe(next, turn * EVERY_MS);
          if (isOver) vitest.expect(after.state).toBe(before.state);
          else vitest.expect(after).toEqual(before);
          if (isOver) return;
          // A record keeps the highest run of waiting tasks of a step.
          const runs = runsOf(workflow);
          const isRisen = runsOf(next).every((run, i) =>
            run >= runs[i] || next.table.at(i).state === tasks.TaskState.Done
          );
          vitest.expect(isRisen).toBe(true);
          workflow = next;
        }
      }),
      { seed: 93, numRuns: 300 },
    );
  });
});
