/**
 * Selects the runs to move off draining endpoints early. A run that will probably not
 * finish before its endpoint leaves restarts elsewhere now instead of after the loss.
 */
import type * as Workflow from "@cairngate/workflow";

/** A run on an endpoint that is going to leave. */
export interface LeavingRun {
  readonly task: Workflow.Task;
  /** Time for which the run was watched, in ms. */
  readonly ranMs: number;
  /** Progress, 0 to 100. */
  readonly percent: number;
  /** Earliest time until the endpoint leaves, in ms. */
  readonly leavesInMs: number;
}

/**
 * Endpoints usually stay longer than announced. Runs without checkpoints would lose all
 * progress by moving, so they count on this factor.
 */
const STAY_FACTOR = 1.5;
/** Below this progress the estimate predicts the end better than the rate. */
const MIN_PERCENT = 10;

/** Returns the tasks of the runs to stop and restart elsewhere. */
export function findRunsToMove(runs: readonly LeavingRun[]): Workflow.Task[] {
  return runs.filter(shouldMove).map(({ task }) => task);
}

function shouldMove(run: LeavingRun): boolean {
  const { step } = run.task;
  if (step.lasting) return true;
  const availableMs = step.checkpoints
    ? run.leavesInMs
    : run.leavesInMs * STAY_FACTOR;
  return remainingMs(run) > availableMs;
}

function remainingMs(run: LeavingRun): number {
  const { percent, ranMs } = run;
  if (percent < MIN_PERCENT || ranMs <= 0) {
    return Math.max(0, run.task.step.estimateMs - ranMs);
  }
  return (100 - percent) * ranMs / percent;
}
