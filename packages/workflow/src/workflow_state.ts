/** State of a workflow as callers see it. */
export enum WorkflowState {
  Queued = "queued",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/** Whether a workflow in this state has ended. */
export function isFinal(state: WorkflowState): boolean {
  return state === WorkflowState.Completed ||
    state === WorkflowState.Failed || state === WorkflowState.Cancelled;
}
