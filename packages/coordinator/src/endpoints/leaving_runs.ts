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
const BET = 1.5;
/** Below this share the estimate tells more than the pace. */
const LEAST_PERCENT = 10;

/** The runs that had better stop now. */
export function findLeaving(runs: readonly LeavingRun[]): Workflow.Task[] {
  return runs.filter(shouldLeave).map(({ task }) => task);
}

function shouldLeave(run: LeavingRun): boolean {
  const { step } = run.task;
  if (step.lasting) return true;
  const hasTimeMs = step.checkpoints ? run.leavesInMs : run.leavesInMs * BET;
  return remainingMs(run) > hasTimeMs;
}

function remainingMs(run: LeavingRun): number {
  const { percent, ranMs } = run;
  if (percent < LEAST_PERCENT || ranMs <= 0) {
    return Math.max(0, run.task.step.estimateMs - ranMs);
  }
  return (100 - percent) * ranMs / percent;
}
