/**
 * Workflows apply the ends of runs and complete, and their progress records fit
 * into one row.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";
import * as records from "./progress_record.ts";
import type * as spec from "./spec.ts";
import * as tasks from "./task.ts";
import * as workflows from "./workflow.ts";
import * as states from "./workflow_state.ts";

/** Characters that fit into one row of the store, in its own encoding. */
const ROW_CHARS = 48_000;
const MAX_TASKS_OF_STEP = 20_000;

function build(
  steps: readonly spec.StepSpec[],
  schedule: spec.Schedule | null = null,
): workflows.Workflow {
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

function end(
  workflow: workflows.Workflow,
  key: string,
  how: tasks.RunEnd,
  run = 1,
): boolean {
  const task = workflow.task(key);
  if (task === undefined) throw new RangeError(key);
  return workflow.endRun(task, { run, how, checkpoint: "" }, 0);
}

function placeAll(workflow: workflows.Workflow, run = 1): void {
  for (const task of workflow.tasks) task.place("worker-1", run, 0);
}

vitest.describe("Workflow", () => {
  vitest.it("is completed when every task is done", () => {
    const workflow = build([TestUtils.buildStep({ count: 2 })]);
    placeAll(workflow);
    end(workflow, "0.0.0", tasks.RunEnd.Done);
    vitest.expect(workflow.state).toBe(states.WorkflowState.Queued);
    end(workflow, "0.0.1", tasks.RunEnd.Done);
    vitest.expect(workflow.state).toBe(states.WorkflowState.Completed);
  });

  vitest.it("completes a gang when one member is done", () => {
    const workflow = build([TestUtils.buildStep({ count: 3, gang: true })]);
    placeAll(workflow);
    end(workflow, "0.0.1", tasks.RunEnd.Done);
    vitest.expect(workflow.state).toBe(states.WorkflowState.Completed);
  });

  vitest.it("counts a gang's failure once for each run", () => {
    const workflow = build([TestUtils.buildStep({ count: 2, gang: true })]);
    for (let run = 1; run <= 3; run++) {
      placeAll(workflow, run);
      end(workflow, "0.0.0", tasks.RunEnd.Failed, run);
      end(workflow, "0.0.1", tasks.RunEnd.Failed, run);
      vitest.expect(workflow.task("0.0.1")?.failures).toBe(run);
    }
    vitest.expect(workflow.state).toBe(states.WorkflowState.Failed);
  });

  vitest.it("does not count stops, lapses and lost runs as failures", () => {
    const workflow = build([TestUtils.buildStep()]);
    const unsuccessfulEnds = [
      tasks.RunEnd.Stopped,
      tasks.RunEnd.Lapsed,
      tasks.RunEnd.Lost,
      tasks.RunEnd.GangBroken,
      tasks.RunEnd.GangIncomplete,
    ];
    unsuccessfulEnds.forEach((how, i) => {
      placeAll(workflow, i + 1);
      end(workflow, "0.0.0", how, i + 1);
    });
    vitest.expect(workflow.task("0.0.0")?.failures).toBe(0);
    vitest.expect(workflow.readyUnits(0).length).toBe(1);
  });

  vitest.it("ignores the end of an earlier run", () => {
    const workflow = build([TestUtils.buildStep()]);
    placeAll(workflow, 2);
    vitest.expect(end(workflow, "0.0.0", tasks.RunEnd.Failed, 1)).toBe(false);
    vitest.expect(workflow.task("0.0.0")?.isPlaced).toBe(true);
  });

  vitest.it("restarts a lasting task however it ends", () => {
    const workflow = build([TestUtils.buildStep({ lasting: true })]);
    placeAll(workflow);
    end(workflow, "0.0.0", tasks.RunEnd.Done);
    vitest.expect(workflow.readyUnits(0).length).toBe(1);
    vitest.expect(workflow.state).not.toBe(states.WorkflowState.Completed);
  });

  vitest.it("starts rounds only when they fall due", () => {
    const schedule = { firstAtMs: 1000, everyMs: 500, rounds: 3 };
    const workflow = build([TestUtils.buildStep()], schedule);
    vitest.expect(workflow.readyUnits(999).length).toBe(0);
    vitest.expect(workflow.readyUnits(1000).length).toBe(1);
    vitest.expect(workflow.readyUnits(1600).length).toBe(2);
  });

  vitest.it("starts at once even if the accepting clock was ahead", () => {
    const workflow = build([TestUtils.buildStep()]);
    vitest.expect(workflow.readyUnits(-2000).length).toBe(1);
  });

  vitest.it("is cancelled once none of its tasks runs", () => {
    const workflow = build([TestUtils.buildStep()]);
    placeAll(workflow);
    workflow.cancelled = true;
    vitest.expect(workflow.completeCancel()).toBe(false);
    end(workflow, "0.0.0", tasks.RunEnd.Stopped);
    vitest.expect(workflow.completeCancel()).toBe(true);
    vitest.expect(workflow.readyUnits(0)).toEqual([]);
  });
});

vitest.describe("progress records", () => {
  vitest.it("restore done tasks, placements and failures", () => {
    const steps = [TestUtils.buildStep({ count: 3 })];
    const workflow = build(steps);
    workflow.state = states.WorkflowState.Running;
    placeAll(workflow);
    end(workflow, "0.0.0", tasks.RunEnd.Done);
    end(workflow, "0.0.1", tasks.RunEnd.Failed);
    const stored = JSON.parse(
      JSON.stringify(records.toProgressRecord(workflow)),
    );
    const restored = build(steps);
    records.applyProgressRecord(restored, stored);
    vitest.expect(restored.task("0.0.0")?.state).toBe(tasks.TaskState.Done);
    vitest.expect(restored.task("0.0.1")?.failures).toBe(1);
    vitest.expect(restored.task("0.0.2")?.endpoint).toBe("worker-1");
    vitest.expect(restored.task("0.0.2")?.state).toBe(tasks.TaskState.Starting);
  });

  vitest.it("restore runs, failures and checkpoints of waiting tasks", () => {
    const steps = [TestUtils.buildStep({ count: 3, checkpoints: true })];
    const workflow = build(steps);
    placeAll(workflow, 4);
    const task = workflow.task("0.0.0");
    if (task === undefined) throw new RangeError("no task");
    const how = tasks.RunEnd.Stopped;
    workflow.endRun(task, { run: 4, how, checkpoint: "half" }, 0);
    end(workflow, "0.0.1", tasks.RunEnd.Stopped, 4);
    end(workflow, "0.0.2", tasks.RunEnd.Failed, 4);
    const restored = build(steps);
    records.applyProgressRecord(restored, records.toProgressRecord(workflow));
    const runs = [...restored.tasks].map(({ run }) => run);
    vitest.expect(runs).toEqual([4, 4, 4]);
    vitest.expect(restored.task("0.0.0")?.checkpoint).toBe("half");
    vitest.expect(restored.task("0.0.2")?.failures).toBe(1);
    vitest.expect(restored.readyUnits(0).length).toBe(3);
  });

  vitest.it("keep a cancel until the end is recorded", () => {
    const steps = [TestUtils.buildStep({ count: 2 })];
    const workflow = build(steps);
    placeAll(workflow);
    workflow.cancelled = true;
    const restored = build(steps);
    records.applyProgressRecord(restored, records.toProgressRecord(workflow));
    vitest.expect(restored.isOver).toBe(true);
    vitest.expect(restored.readyUnits(0)).toEqual([]);
    const uncancelled = records.toProgressRecord(build(steps));
    records.applyProgressRecord(restored, uncancelled);
    vitest.expect(restored.cancelled).toBe(true);
    vitest.expect(uncancelled.cancelled).toBeUndefined();
  });

  vitest.it("fit into one row, however many tasks a step has", () => {
    const count = MAX_TASKS_OF_STEP;
    const workflow = build([TestUtils.buildStep({ count, checkpoints: true })]);
    workflow.state = states.WorkflowState.Running;
    let run = 0;
    for (const unit of workflow.readyUnits(0)) {
      unit.tasks[0].place(`i-${String(run).padStart(10, "0")}`, ++run, 0);
    }
    vitest.expect(run).toBe(workflows.MAX_PLACED_TASKS);
    for (const task of workflow.tasks) {
      task.checkpoint = "0123456789abcdef";
      if (task.isPlaced) continue;
      task.run = 3;
      task.failures = 1;
      if (task.index % 2 === 0) task.state = tasks.TaskState.Done;
    }
    const record = records.toProgressRecord(workflow);
    vitest.expect(JSON.stringify(record).length).toBeLessThan(ROW_CHARS);
  });

  vitest.it("restore the failures of more tasks than are listed", () => {
    const steps = [
      TestUtils.buildStep({ count: 300 }),
      TestUtils.buildStep({ count: 300 }),
    ];
    const workflow = build(steps);
    workflow.state = states.WorkflowState.Running;
    for (const task of workflow.tasks) {
      task.run = 2;
      task.failures = task.index % 3;
    }
    const record = records.toProgressRecord(workflow);
    vitest.expect(JSON.stringify(record).length).toBeLessThan(ROW_CHARS);
    const restored = build(steps);
    records.applyProgressRecord(restored, record);
    const failuresOf = ({ tasks }: workflows.Workflow) =>
      [...tasks].map(({ failures }) => failures);
    vitest.expect(failuresOf(restored)).toEqual(failuresOf(workflow));
  });

  vitest.it("fit into one row, however many rounds a workflow has", () => {
    const rounds = MAX_TASKS_OF_STEP;
    const schedule = { firstAtMs: 0, everyMs: 1, rounds };
    const workflow = build([TestUtils.buildStep({ count: 1 })], schedule);
    workflow.state = states.WorkflowState.Running;
    for (const task of workflow.tasks) {
      task.run = 1;
      if (task.round % 2 === 0) task.state = tasks.TaskState.Done;
    }
    const record = records.toProgressRecord(workflow);
    vitest.expect(JSON.stringify(record).length).toBeLessThan(ROW_CHARS);
    const restored = build([TestUtils.buildStep({ count: 1 })], schedule);
    records.applyProgressRecord(restored, record);
    const isDone = (task: tasks.Task) => task.state === tasks.TaskState.Done;
    vitest.expect([...restored.tasks].map(isDone))
      .toEqual([...workflow.tasks].map(isDone));
    const waiting = [...restored.tasks].filter((task) => !isDone(task));
    vitest.expect(waiting.every(({ run }) => run === 1)).toBe(true);
  });

  vitest.it(
    "keep the runs of an ended workflow that still have to stop",
    () => {
      const workflow = build([TestUtils.buildStep({ count: 2 })]);
      placeAll(workflow);
      workflow.state = states.WorkflowState.Failed;
      end(workflow, "0.0.0", tasks.RunEnd.Stopped);
      const { tasks: taskRecords } = records.toProgressRecord(workflow);
      vitest.expect(Object.keys(taskRecords)).toEqual(["0.0.1"]);
    },
  );
});
