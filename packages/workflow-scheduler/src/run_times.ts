/** What runs are expected to take in one plan, and what units can still reach. */
import type * as Workflow from "@cairngate/workflow";
import * as estimates from "./expected_run.ts";
import type * as fleet from "./fleet.ts";
import type * as hardLoads from "./hard_load.ts";
import * as placement from "./placement.ts";
import * as rank from "./rank.ts";

/** What the times are judged by. */
export interface RunTimesOptions {
  readonly workers: readonly fleet.WorkerState[];
  readonly nowMs: number;
  readonly wallMs: number;
  readonly hardLoad?: hardLoads.HardLoad;
  readonly corrections?: estimates.Corrections;
}

/** Times of runs: by their estimates, and by speeds where endpoints differ. */
export class RunTimes {
  /** Null where endpoints do not differ in speed. */
  readonly estimator: estimates.RunEstimator | null;
  readonly #options: RunTimesOptions;
  readonly #speeds: ReadonlyMap<string, number>;

  constructor(options: RunTimesOptions) {
    const { workers, hardLoad, corrections } = options;
    this.#options = options;
    this.#speeds = new Map(
      workers.map((w) => [w.id, placement.currentSpeed(w)]),
    );
    const usable = workers.filter((state) => state.usable);
    this.estimator = hardLoad?.endpointsDiffer === true
      ? new estimates.RunEstimator(
        usable.map(placement.currentSpeed),
        corrections ?? new Map(),
      )
      : null;
  }

  /**
   * What a unit can still reach if it starts some time later, on the best endpoints
   * where they differ.
   */
  bestOutcomeOf(unit: Workflow.Unit, delayMs = 0): rank.Hope {
    const wallMs = this.#options.wallMs + delayMs;
    return this.estimator?.bestOutcomeOf(unit, wallMs) ??
      rank.hopeOf(unit, wallMs);
  }

  /** Time that the run of a task takes where it is, in ms. */
  runMs(task: Workflow.Task): number {
    if (this.estimator === null) return task.step.estimateMs;
    const speed = this.#speeds.get(task.worker ?? "") ?? 1;
    return this.estimator.expectedMs(task, speed);
  }

  /** Time that is left of a run of some age, by its pace where speeds differ. */
  remainingMs(task: Workflow.Task, ranMs: number): number {
    if (this.estimator !== null && task.endsAtMs !== null) {
      return Math.max(0, task.endsAtMs - this.#options.nowMs);
    }
    return Math.max(0, this.runMs(task) - ranMs);
  }
}
