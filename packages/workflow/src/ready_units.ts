/**
 * Finds the tasks of a workflow that may start now, grouped by how they are placed.
 */
import * as spec from "./spec.ts";
import * as taskStates from "./task_state.ts";
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

/** Tasks of a workflow by round and step. */
export type TasksByRound<T> = readonly (readonly (readonly T[])[])[];

interface WorkflowWithTasks<T> {
  readonly spec: spec.WorkflowSpec;
  readonly rounds: TasksByRound<T>;
}

/** Returns the units of all rounds that are due, in order of rounds and steps. */
export function findReadyUnits<
  W extends WorkflowWithTasks<T>,
  T extends workflowTasks.WorkflowTask,
>(workflow: W, wallMs: number): ReadyUnit<W, T>[] {
  const units: ReadyUnit<W, T>[] = [];
  for (const [round, steps] of workflow.rounds.entries()) {
    if (!spec.isDue(workflow.spec, round, wallMs)) break;
    for (const [stepIndex, step] of workflow.spec.steps.entries()) {
      if (
        !step.after.every((predecessor) => steps[predecessor].every(isDone))
      ) continue;
      for (const tasks of readyGroups(step, steps[stepIndex])) {
        units.push({ workflow, round, stepIndex, step, tasks });
      }
    }
  }
  return units;
}

function readyGroups<T extends workflowTasks.WorkflowTask>(
  step: spec.StepSpec,
  all: readonly T[],
): readonly (readonly T[])[] {
  if (step.gang) return all.every(isWaiting) && all.length > 0 ? [all] : [];
  return all.filter(isWaiting).map((task) => [task]);
}

function isDone({ state }: workflowTasks.WorkflowTask): boolean {
  return state === taskStates.TaskState.Done;
}

function isWaiting(task: workflowTasks.WorkflowTask): boolean {
  return task.state === taskStates.TaskState.Waiting && !task.isPlaced;
}
