/** Expected run times and best outcomes of units during one plan. */
import type * as Workflow from "@cairngate/workflow";
import * as estimates from "./run_estimator.ts";
import type * as fleet from "./fleet.ts";
import type * as hardLoads from "./hard_load.ts";
import * as placement from "./placement.ts";
import * as rank from "./rank.ts";

/** Inputs for estimating run times. */
export interface RunTimesOptions {
  readonly endpoints: readonly fleet.EndpointSnapshot[];
  readonly nowMs: number;
  readonly wallMs: number;
  readonly hardLoad?: hardLoads.HardLoad;
  readonly corrections?: estimates.Corrections;
}

/** Estimates run times, taking speeds into account where endpoints differ. */
export class RunTimes {
  /** Null unless endpoints differ in speed. */
  readonly estimator: estimates.RunEstimator | null;
  readonly #options: RunTimesOptions;
  readonly #speeds: ReadonlyMap<string, number>;

  constructor(options: RunTimesOptions) {
    const { endpoints, hardLoad, corrections } = options;
    this.#options = options;
    this.#speeds = new Map(
      endpoints.map((w) => [w.id, placement.currentSpeed(w)]),
    );
    const usable = endpoints.filter((state) => state.usable);
    this.estimator = hardLoad?.endpointsDiffer === true
      ? new estimates.RunEstimator(
        usable.map(placement.currentSpeed),
        corrections ?? new Map(),
      )
      : null;
  }

  /**
   * Best outcome of a unit that starts after a delay, on the best endpoints where they
   * differ in speed.
   */
  bestOutcomeOf(unit: Workflow.Unit, delayMs = 0): rank.Outcome {
    const wallMs = this.#options.wallMs + delayMs;
    return this.estimator?.bestOutcomeOf(unit, wallMs) ??
      rank.outcomeOf(unit, wallMs);
  }

  /** Expected run time of a task on its endpoint, in ms. */
  runMs(task: Workflow.Task): number {
    if (this.estimator === null) return task.step.estimateMs;
    const speed = this.#speeds.get(task.endpoint ?? "") ?? 1;
    return this.estimator.expectedMs(task, speed);
  }

  /** Expected remaining time of a run, from its predicted end where speeds differ. */
  remainingMs(task: Workflow.Task, ranMs: number): number {
    if (this.estimator !== null && task.endsAtMs !== null) {
      return Math.max(0, task.endsAtMs - this.#options.nowMs);
    }
    return Math.max(0, this.runMs(task) - ranMs);
  }
}
