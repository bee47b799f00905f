/**
 * Counts failures and crashes of the runs of one workflow: each run fails once, and each
 * incarnation of an endpoint crashes once under a run.
 */
import * as ends from "./run_end_details.ts";
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import type * as workflowTasks from "./workflow_task.ts";

type Task = workflowTasks.WorkflowTask;

/** Failures and crashes counted for one workflow. */
export class FailureCounts {
  /** Gang runs whose failure is counted, as round.step.run. */
  readonly #gangFailures = new Set<string>();
  /** The newest of these runs, by round.step. */
  readonly #newestFailedRuns = new Map<string, number>();
  /** Counted endpoint crashes, by task, run and incarnation. */
  readonly #crashes = new Set<string>();
  /**
   * Counted crashes that are excused because other endpoints crashed too; each is
   * excused once.
   */
  readonly #excused = new Set<string>();

  /**
   * Registers a failure and returns whether it is new; the members of a gang fail
   * as one.
   */
  registerFailure(task: Task, run: number): boolean {
    if (!task.step.gang) return true;
    if (this.#gangFailures.has(gangRunKey(task.stepKey, run))) return false;
    this.markFailedRun(task.stepKey, run);
    return true;
  }

  /** The newest run of each gang whose failure is counted, by round.step. */
  get newestFailedRuns(): readonly (readonly [stepKey: string, run: number])[] {
    return [...this.#newestFailedRuns];
  }

  /**
   * Marks the failure of a gang run as counted, possibly by an earlier coordinator.
   */
  markFailedRun(stepKey: string, run: number): void {
    this.#gangFailures.add(gangRunKey(stepKey, run));
    const newest = Math.max(run, this.#newestFailedRuns.get(stepKey) ?? 0);
    this.#newestFailedRuns.set(stepKey, newest);
  }

  /** Counts a failure for all tasks that fail together with this one. */
  addFailure(
    task: Task,
    ended: ends.RunEndDetails,
    { group, nowMs }: { group: readonly Task[]; nowMs: number },
  ): void {
    const failedAfterMs = nowMs - task.startedAtMs;
    const entry = histories.failedEntry(ends.toOutcome(task, ended));
    for (const member of group) {
      member.failures++;
      member.failedAtMs = nowMs;
      member.failedAfterMs = failedAfterMs;
      member.addHistoryEntry(entry);
    }
  }

  /** Counts a crash; returns false if it is counted already. */
  addCrash(task: Task, ended: ends.RunEndDetails): boolean {
    const { run, crash = budgets.NO_EVIDENCE } = ended;
    const id = crashKey(task, run, crash);
    if (this.#crashes.has(id)) return false;
    this.#crashes.add(id);
    const prior = task.crashes;
    task.crashes = budgets.addCrash(prior, crash);
    const { laid, unseen } = task.crashes;
    if (laid + unseen === prior.laid + prior.unseen) this.#excused.add(id);
    task.addHistoryEntry(histories.crashedEntry(ends.toOutcome(task, ended), {
      presence: crash.presence,
      before: prior,
      after: task.crashes,
    }));
    return true;
  }

  /**
   * Excuses a crash that struck many endpoints at once. Returns false if that
   * changes nothing.
   */
  excuseCrash(
    task: Task,
    run: number,
    evidence: Omit<budgets.CrashEvidence, "wasAlone">,
  ): boolean {
    const id = crashKey(task, run, evidence);
    if (!this.#crashes.has(id) || this.#excused.has(id)) return false;
    const count = budgets.excuseCrash(task.crashes, evidence);
    if (count === task.crashes) return false;
    task.crashes = count;
    this.#excused.add(id);
    const { presence } = evidence;
    task.history = histories.excuseRun(task.history, { run, presence });
    return true;
  }
}

/** The highest count of possible crashes among the members of a gang. */
export function highestCrashCount(
  members: readonly Task[],
): budgets.CrashCount {
  const totalOf = (count: budgets.CrashCount) =>
    budgets.countPossibleCrashes(count, 0);
  return members.map(({ crashes }) => crashes).reduce(
    (highest, count) => totalOf(count) > totalOf(highest) ? count : highest,
    budgets.NO_CRASHES,
  );
}

/** Key of a gang run within its workflow. */
function gangRunKey(stepKey: string, run: number): string {
  return `${stepKey}.${run}`;
}

/** Key of the crash of one incarnation under a task's run, within its workflow. */
function crashKey(
  task: Task,
  run: number,
  { bornMs = null }: Pick<budgets.CrashEvidence, "bornMs">,
): string {
  return `${task.key}.${run}.${bornMs}`;
}
