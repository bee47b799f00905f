/** The durable record of a workflow's progress; the coordinator writes it. */
import * as tasks from "./task.ts";
import * as workflows from "./workflow.ts";

/** What is kept of a task that has been touched. */
export interface TaskRecord {
  /** Whether the task has ended for good. */
  readonly done: boolean;
  readonly run: number;
  /** Worker that may hold the newest run; null for none. */
  readonly worker: string | null;
  readonly failures: number;
  readonly checkpoint: string;
}

/** What is kept of a workflow; untouched tasks are left out. */
export interface ProgressRecord {
  readonly state: workflows.WorkflowState;
  readonly tasks: Readonly<Record<string, TaskRecord>>;
}

/** Makes the record of a workflow. */
export function toProgress(workflow: workflows.Workflow): ProgressRecord {
  const kept: Record<string, TaskRecord> = {};
  const hasEnded = workflows.isFinal(workflow.state);
  for (const task of workflow.tasks) {
    // What still runs after the end has to be stopped by whoever takes over.
    if (task.run === 0 || (hasEnded && !task.isPlaced)) continue;
    kept[task.key] = {
      done: task.state === tasks.TaskState.Done,
      run: task.run,
      worker: task.worker,
      failures: task.failures,
      checkpoint: task.checkpoint,
    };
  }
  return { state: workflow.state, tasks: kept };
}

/** Puts a record into a workflow that was made from its spec. */
export function applyProgress(
  workflow: workflows.Workflow,
  record: ProgressRecord,
): void {
  workflow.state = record.state;
  for (const [key, kept] of Object.entries(record.tasks)) {
    const task = workflow.task(key);
    if (task === undefined) continue;
    task.run = kept.run;
    task.worker = kept.worker;
    task.failures = kept.failures;
    task.checkpoint = kept.checkpoint;
    task.state = stateOf(kept);
  }
}

function stateOf(kept: TaskRecord): tasks.TaskState {
  if (kept.done) return tasks.TaskState.Done;
  return kept.worker === null
    ? tasks.TaskState.Waiting
    : tasks.TaskState.Starting;
}
