/**
 * Which members of a gang's run are known to have ended as broken. A member that ended
 * so tells that another one had ended, and not that all have: a third one may follow
 * later, or still be stopping.
 */
import type * as tasks from "./workflow_task.ts";

interface BrokenRun {
  /** Our time at which the first member was listed as broken. */
  readonly sinceMs: number;
  readonly members: Set<tasks.WorkflowTask>;
}

/** Those of one workflow. */
export class GangBreaks {
  /** By round, step and run. */
  readonly #runs = new Map<string, BrokenRun>();

  /** The present run of a member ended as broken. */
  note(task: tasks.WorkflowTask, nowMs: number): void {
    const name = nameOf(task);
    const known = this.#runs.get(name);
    const run = known ?? { sinceMs: nowMs, members: new Set() };
    run.members.add(task);
    this.#runs.set(name, run);
  }

  /**
   * Whether the present run of a member must have ended before those of all others:
   * each of them broke because another one had ended, so the first end was this one's.
   * Not where it was told to stop before: a stop takes its time, and nobody says
   * whether others break at its beginning or at its end.
   */
  isFirstEnd(
    task: tasks.WorkflowTask,
    others: readonly tasks.WorkflowTask[],
    stoppingSinceMs: number | null,
  ): boolean {
    const broken = this.#runs.get(nameOf(task));
    if (broken === undefined) return false;
    if (stoppingSinceMs !== null && stoppingSinceMs < broken.sinceMs) {
      return false;
    }
    return others.every((other) => broken.members.has(other));
  }
}

/** Name of a run of a gang within its workflow. */
function nameOf({ stepKey, run }: tasks.WorkflowTask): string {
  return `${stepKey}.${run}`;
}
