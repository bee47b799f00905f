/** State of a workflow as callers see it. */
export enum WorkflowState {
  Queued = "queued",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/**
 * State for callers of a workflow whose first start is recorded.
 * @param mayHaveBegun whether a task has begun or a start may be on its way
 */
export function toVisibleState(
  state: WorkflowState,
  mayHaveBegun: boolean,
): WorkflowState {
  const isQueuedAgain = state === WorkflowState.Running && !mayHaveBegun;
  return isQueuedAgain ? WorkflowState.Queued : state;
}

/** Whether a workflow in this state has ended. */
export function isFinal(state: WorkflowState): boolean {
  return state === WorkflowState.Completed ||
    state === WorkflowState.Failed || state === WorkflowState.Cancelled;
}
