/** Runs that were given up before their outcome was known. */
import type * as budgets from "./restart_budget.ts";

/** The parts of a task that unresolved runs update. */
export interface TaskWithUnresolvedRuns {
  readonly stepKey: string;
  /** Runs whose endpoints are neither reachable nor listed any more. */
  goneRuns: number;
  /** Removes one possible crash: the end of a gone run is resolved. */
  withdrawGoneRun(): void;
}

/** A run of a task `T` whose outcome is not known. */
export interface UnresolvedRun<T extends TaskWithUnresolvedRuns> {
  readonly task: T;
  readonly run: number;
  /** Id of the endpoint where it ran. */
  readonly endpoint: string;
  /** Start time of that endpoint process; null if unknown. */
  readonly bornMs: number | null;
  /** Address of that endpoint; omitted or null if unknown. */
  readonly address?: string | null;
  /**
   * Whether its endpoint is neither reachable nor listed, so that it may have
   * crashed.
   */
  readonly isGone?: boolean;
  /** How certain it is that the run was on the endpoint. */
  readonly presence: budgets.Presence;
}

const NO_RUNS: ReadonlySet<number> = new Set();

/** The unresolved runs of one workflow. */
export class UnresolvedRuns<T extends TaskWithUnresolvedRuns> {
  readonly #runs: UnresolvedRun<T>[] = [];

  /** All unresolved runs. */
  get all(): readonly UnresolvedRun<T>[] {
    return this.#runs;
  }

  /** Adds a run that is given up while its outcome is not known. */
  add(end: UnresolvedRun<T>): void {
    this.close(end.task, end.run);
    this.#runs.push(end);
    if (end.isGone === true) end.task.goneRuns++;
  }

  /** Whether a run is known to have been on an endpoint that may have crashed. */
  isGone({ task, run }: Pick<UnresolvedRun<T>, "task" | "run">): boolean {
    return this.#runs.some((existing) =>
      existing.task === task && existing.run === run && existing.isGone === true
    );
  }

  /**
   * Removes a run that is resolved or can no longer count. Returns false if there
   * was none.
   */
  close(task: T, run: number): boolean {
    return this.#removeWhere((entry) =>
      entry.task === task && entry.run === run
    );
  }

  /**
   * Removes a run whose outcome must not count if it is reported later. A run on a
   * gone endpoint stays: its endpoint may still have crashed.
   */
  closeUnlessGone(task: T, run: number): void {
    this.#removeWhere((entry) =>
      entry.task === task && entry.run === run && entry.isGone !== true
    );
  }

  /** Removes all runs of a task whose earlier ends no longer matter. */
  closeTask(task: T): void {
    this.#removeWhere((entry) => entry.task === task);
  }

  /** Removes all members of a gang run, as the end of one member resolves it. */
  closeGangRun(stepKey: string, run: number): void {
    this.#removeWhere((entry) =>
      entry.task.stepKey === stepKey && entry.run === run
    );
  }

  /**
   * Runs of a step whose failure may still be reported. A run on a gone endpoint was
   * killed when its lease expired, so it is left out.
   */
  openRuns(stepKey: string): ReadonlySet<number> {
    if (this.#runs.length === 0) return NO_RUNS;
    const open = this.#runs.filter(({ task, isGone }) =>
      task.stepKey === stepKey && isGone !== true
    );
    return new Set(open.map(({ run }) => run));
  }

  #removeWhere(isRemoved: (end: UnresolvedRun<T>) => boolean): boolean {
    const remaining = this.#runs.filter((entry) => !isRemoved(entry));
    const isChanged = remaining.length < this.#runs.length;
    for (const end of this.#runs) {
      if (end.isGone === true && isRemoved(end)) end.task.withdrawGoneRun();
    }
    this.#runs.splice(0, this.#runs.length, ...remaining);
    return isChanged;
  }
}
