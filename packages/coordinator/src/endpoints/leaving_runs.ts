/**
 * Decides which runs leave a draining worker early. What will hardly end before
 * the worker goes begins again elsewhere now, not when the worker is gone.
 */
import type * as Workflow from "@cairngate/workflow";

/** A run on a worker that is going to leave. */
export interface LeavingRun {
  readonly task: Workflow.Task;
  /** Time that the run has had so far. */
  readonly ranMs: number;
  /** Share that is done, 0 to 100. */
  readonly percent: number;
  /** Least time until the worker leaves. */
  readonly leavesInMs: number;
}

/** Workers mostly stay longer than they must; work without checkpoints bets. */
const STAY_FACTOR = 1.5;
/** Below this share the estimate tells more than the pace. */
const MIN_PERCENT = 10;

/** The runs that had better stop now. */
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
