/**
 * Tracks which members of a gang run ended because another member had ended
 * (`RunEnd.Broken`). One such end shows that some other member ended, not that all
 * did: a third one may end later, or still be stopping.
 */
import type * as tasks from "./workflow_task.ts";

interface BrokenRun {
  /** Monotonic time at which the first member was recorded as broken. */
  readonly firstBrokenAtMs: number;
  /**
   * Monotonic time since which each member was being stopped; null if it was not.
   */
  readonly memberStops: Map<tasks.WorkflowTask, number | null>;
}

/** The broken gang runs of one workflow. */
export class BrokenGangRuns {
  /** By round, step and run. */
  readonly #runs = new Map<string, BrokenRun>();

  /** Records that the current run of a member ended as broken. */
  add(
    task: tasks.WorkflowTask,
    nowMs: number,
    stoppingSinceMs: number | null = null,
  ): void {
    const key = gangRunKey(task);
    const existing = this.#runs.get(key);
    const run = existing ?? { firstBrokenAtMs: nowMs, memberStops: new Map() };
    run.memberStops.set(task, stoppingSinceMs);
    this.#runs.set(key, run);
  }

  /**
   * Whether the current run of a member must have ended before those of all others:
   * if each other member broke because another one had ended, the first end was
   * this one's. That does not follow if any member, this one included, was being
   * stopped before: a stop takes time, and it is unknown whether others break at
   * its start or at its end.
   */
  hasEndedFirst(
    task: tasks.WorkflowTask,
    others: readonly tasks.WorkflowTask[],
    stoppingSinceMs: number | null,
  ): boolean {
    const broken = this.#runs.get(gangRunKey(task));
    if (broken === undefined) return false;
    const wasStoppingBefore = (sinceMs: number | null) =>
      sinceMs !== null && sinceMs < broken.firstBrokenAtMs;
    if (wasStoppingBefore(stoppingSinceMs)) return false;
    return others.every((other) => {
      const sinceMs = broken.memberStops.get(other);
      return sinceMs !== undefined && !wasStoppingBefore(sinceMs);
    });
  }
}

/** Key of a gang run within its workflow. */
function gangRunKey({ stepKey, run }: tasks.WorkflowTask): string {
  return `${stepKey}.${run}`;
}
