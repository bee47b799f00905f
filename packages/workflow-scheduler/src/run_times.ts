/** What runs are expected to take in one plan, and what units can still reach. */
import type * as Workflow from "@cairngate/workflow";
import * as outlooks from "./expected_run.ts";
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
  readonly corrections?: outlooks.Corrections;
}

/** Times of runs: by their estimates, and by speeds where endpoints differ. */
export class RunTimes {
  /** Null where endpoints do not differ in speed. */
  readonly outlook: outlooks.RunOutlook | null;
  readonly #options: RunTimesOptions;
  readonly #speeds: ReadonlyMap<string, number>;

  constructor(options: RunTimesOptions) {
    const { workers, hardLoad, corrections } = options;
    this.#options = options;
    this.#speeds = new Map(workers.map((w) => [w.id, placement.speedNow(w)]));
    const usable = workers.filter((worker) => worker.usable);
    this.outlook = hardLoad?.endpointsDiffer === true
      ? new outlooks.RunOutlook(
        usable.map(placement.speedNow),
        corrections ?? new Map(),
      )
      : null;
  }

  /**
   * What a unit can still reach if it starts some time later, on the best endpoints
   * where they differ.
   */
  hopeOf(unit: Workflow.Unit, laterMs = 0): rank.Hope {
    const wallMs = this.#options.wallMs + laterMs;
    return this.outlook?.hopeOf(unit, wallMs) ?? rank.hopeOf(unit, wallMs);
  }

  /** Time that the run of a task takes where it is, in ms. */
  runMs(task: Workflow.Task): number {
    if (this.outlook === null) return task.step.estimateMs;
    const speed = this.#speeds.get(task.worker ?? "") ?? 1;
    return this.outlook.expectedMs(task, speed);
  }

  /** Time that is left of a run of some age, by its pace where speeds differ. */
  leftMs(task: Workflow.Task, ranMs: number): number {
    if (this.outlook !== null && task.endsAtMs !== null) {
      return Math.max(0, task.endsAtMs - this.#options.nowMs);
    }
    return Math.max(0, this.runMs(task) - ranMs);
  }
}
