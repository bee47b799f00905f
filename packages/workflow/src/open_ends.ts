/** Runs that were given up before anybody knew how they ended. */
import type * as budgets from "./restart_budget.ts";

/** What open ends have to do with in a task. */
export interface OpenTask {
  readonly stepKey: string;
  /** Runs whose endpoints are neither heard nor listed any more. */
  goneRuns: number;
  /** The end of a run whose endpoint was neither heard nor listed is a doubt no more. */
  withdrawGone(): void;
}

/** A run of a task `T` whose end is not known. */
export interface OpenEnd<T extends OpenTask> {
  readonly task: T;
  readonly run: number;
  /** Where it ran. */
  readonly worker: string;
  /** Birth of that endpoint's life; null: not told, or not known. */
  readonly bornMs: number | null;
  /** Address of that endpoint; left out or null: not known. */
  readonly address?: string | null;
  /** Its endpoint is neither heard nor listed: it may have crashed. */
  readonly isGone?: boolean;
  /** How sure it is that the endpoint had it. */
  readonly presence: budgets.Presence;
}

/** The open ends of one workflow. */
export class OpenEnds<T extends OpenTask> {
  readonly #open: OpenEnd<T>[] = [];

  /** All of them. */
  get all(): readonly OpenEnd<T>[] {
    return this.#open;
  }

  /** A run is given up while its end is not known. */
  add(end: OpenEnd<T>): void {
    this.close(end.task, end.run);
    this.#open.push(end);
    if (end.isGone === true) end.task.goneRuns++;
  }

  /** Whether a run is known to have been on an endpoint that may have crashed. */
  isGone({ task, run }: Pick<OpenEnd<T>, "task" | "run">): boolean {
    return this.#open.some((one) =>
      one.task === task && one.run === run && one.isGone === true
    );
  }

  /** The end is known, or can not count any more. False where it was not open. */
  close(task: T, run: number): boolean {
    return this.#removeWhere((one) => one.task === task && one.run === run);
  }

  /** The end does not count if it is told now; a doubt about its endpoint stays. */
  closeUntold(task: T, run: number): void {
    this.#removeWhere((one) =>
      one.task === task && one.run === run && one.isGone !== true
    );
  }

  /** Whatever ended a task's earlier runs does not matter any more. */
  closeTask(task: T): void {
    this.#removeWhere((one) => one.task === task);
  }

  /** The end of one member tells that of the whole run. */
  closeRun(stepKey: string, run: number): void {
    this.#removeWhere((one) => one.task.stepKey === stepKey && one.run === run);
  }

  /**
   * Runs of a step whose failure may still be told if this one is given up too. What
   * ran on an endpoint that is gone was killed when its lease ran out.
   */
  countWith(stepKey: string, run: number): number {
    const runs = this.#open
      .filter(({ task, isGone }) => task.stepKey === stepKey && isGone !== true)
      .map((one) => one.run);
    return new Set([...runs, run]).size;
  }

  #removeWhere(isOver: (end: OpenEnd<T>) => boolean): boolean {
    const left = this.#open.filter((one) => !isOver(one));
    const isChanged = left.length < this.#open.length;
    for (const end of this.#open) {
      if (end.isGone === true && isOver(end)) end.task.withdrawGone();
    }
    this.#open.splice(0, this.#open.length, ...left);
    return isChanged;
  }
}
