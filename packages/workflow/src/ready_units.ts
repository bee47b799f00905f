/**
 * Finds the tasks of a workflow that may start now, grouped by how they are placed.
 */
import * as spec from "./spec.ts";
import type * as groups from "./task_group.ts";
import type * as tables from "./task_table.ts";
import type * as workflowTasks from "./workflow_task.ts";

/**
 * Tasks `T` of a workflow `W` that are placed together: a gang or a single task.
 */
export interface ReadyUnit<W, T> {
  readonly workflow: W;
  readonly round: number;
  readonly stepIndex: number;
  readonly step: spec.StepSpec;
  readonly tasks: readonly T[];
}

/** A workflow and its tasks. */
interface WorkflowWithTasks<W extends workflowTasks.TaskOwner> {
  readonly workflow: W;
  readonly tasks: tables.TaskTable<W>;
}

/** Which units are wanted. */
interface Wanted {
  readonly wallMs: number;
  /** Maximum number of tasks of all units together. */
  readonly maxTasks: number;
}

/**
 * Returns the units of all rounds that are due, in order of rounds and steps. Creates
 * objects only for the tasks of these units.
 */
export function findReadyUnits<W extends workflowTasks.TaskOwner>(
  { workflow, tasks }: WorkflowWithTasks<W>,
  { wallMs, maxTasks }: Wanted,
): ReadyUnit<W, workflowTasks.WorkflowTask<W>>[] {
  const units: ReadyUnit<W, workflowTasks.WorkflowTask<W>>[] = [];
  let remaining = maxTasks;
  for (const round of tasks.openRounds()) {
    if (remaining <= 0 || !spec.isDue(workflow.spec, round, wallMs)) break;
    for (const [stepIndex, step] of workflow.spec.steps.entries()) {
      const minTasks = step.gang ? step.count : 1;
      if (minTasks > remaining || tasks.isStepRetired(round, stepIndex)) {
        continue;
      }
      const isReady = step.after.every((predecessor) =>
        tasks.isStepDone(round, predecessor)
      );
      if (!isReady) continue;
      const group = tasks.group(round, stepIndex);
      for (const members of readyMembers(group, remaining)) {
        units.push({ workflow, round, stepIndex, step, tasks: members });
        remaining -= members.length;
      }
    }
  }
  return units;
}

/** Tasks of a step that may start: all of a gang, or some tasks one by one. */
function readyMembers<W extends workflowTasks.TaskOwner>(
  group: groups.TaskGroup<W>,
  maxTasks: number,
): (readonly workflowTasks.WorkflowTask<W>[])[] {
  const { step } = group;
  if (step.gang) return group.isWaiting ? [group.all] : [];
  const ready: (readonly workflowTasks.WorkflowTask<W>[])[] = [];
  for (let i = 0; i < step.count && ready.length < maxTasks; i++) {
    if (group.isWaitingAt(i)) ready.push([group.task(i)]);
  }
  return ready;
}
