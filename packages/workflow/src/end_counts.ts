/** Counts how runs of one workflow ended badly, each of them once. */
import * as ends from "./end_of_run.ts";
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import type * as workflowTasks from "./workflow_task.ts";

type Task = workflowTasks.WorkflowTask;

/** What is counted of one workflow. */
export class EndCounts {
  /** Runs of gangs whose failure is counted already, as round.step.run. */
  readonly #failures = new Set<string>();
  /** The newest of them, by round.step. */
  readonly #failedRuns = new Map<string, number>();
  /** Runs with which an endpoint crashed and that are counted, by task and run. */
  readonly #crashes = new Set<string>();
  /** Those of them for which others are to blame: one excuse for each run. */
  readonly #excused = new Set<string>();

  /** Whether a run has failed newly; a gang's members fail as one. */
  isNewFailure(task: Task, run: number): boolean {
    if (!task.step.gang) return true;
    if (this.#failures.has(gangRun(task.stepKey, run))) return false;
    this.noteFailedRun(task.stepKey, run);
    return true;
  }

  /** The newest run of a gang whose failure is counted; null for none. */
  failedRunOf(stepKey: string): number | null {
    return this.#failedRuns.get(stepKey) ?? null;
  }

  /** The failure of a gang's run is counted, by an earlier coordinator perhaps. */
  noteFailedRun(stepKey: string, run: number): void {
    this.#failures.add(gangRun(stepKey, run));
    const newest = Math.max(run, this.#failedRuns.get(stepKey) ?? 0);
    this.#failedRuns.set(stepKey, newest);
  }

  /** Counts a failure for all tasks that fail with this one. */
  addFailure(
    task: Task,
    ended: ends.EndOfRun,
    { group, nowMs }: { group: readonly Task[]; nowMs: number },
  ): void {
    const failedAfterMs = nowMs - task.startedAtMs;
    const entry = histories.failedEntry(ends.atEnd(task, ended));
    for (const member of group) {
      member.failures++;
      member.failedAtMs = nowMs;
      member.failedAfterMs = failedAfterMs;
      member.note(entry);
    }
  }

  /** Counts a crash; false where it is counted already. */
  addCrash(task: Task, ended: ends.EndOfRun): boolean {
    const { run, crash = budgets.NO_EVIDENCE } = ended;
    const id = taskRun(task, run);
    if (this.#crashes.has(id)) return false;
    this.#crashes.add(id);
    const former = task.crashes;
    task.crashes = budgets.addCrash(former, crash);
    const { laid, unseen } = task.crashes;
    if (laid + unseen === former.laid + former.unseen) this.#excused.add(id);
    task.note(histories.crashedEntry(ends.atEnd(task, ended), {
      presence: crash.presence,
      before: former,
      after: task.crashes,
    }));
    return true;
  }

  /**
   * A crash under a task has struck many endpoints at once. Returns false where
   * that changes nothing.
   */
  excuseCrash(
    task: Task,
    run: number,
    evidence: Pick<budgets.CrashEvidence, "fellows" | "presence">,
  ): boolean {
    const id = taskRun(task, run);
    if (!this.#crashes.has(id) || this.#excused.has(id)) return false;
    const count = budgets.excuseCrash(task.crashes, evidence);
    if (count === task.crashes) return false;
    task.crashes = count;
    this.#excused.add(id);
    task.history = histories.excuseRun(task.history, run);
    return true;
  }
}

/** The highest count among the members of a gang. */
export function mostCrashed(members: readonly Task[]): budgets.CrashCount {
  const sumOf = ({ laid, excused }: budgets.CrashCount) => laid + excused;
  return members.map(({ crashes }) => crashes).reduce(
    (most, count) => sumOf(count) > sumOf(most) ? count : most,
    budgets.NO_CRASHES,
  );
}

/** Name of a run of a gang within its workflow. */
function gangRun(stepKey: string, run: number): string {
  return `${stepKey}.${run}`;
}

/** Name of a run of a task within its workflow. */
function taskRun(task: Task, run: number): string {
  return `${task.key}.${run}`;
}
