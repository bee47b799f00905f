/**
 * Corrects the callers' estimates by the run times observed in each queue. A gang
 * lasts as long as its longest task, so its runs exceed the estimate for one task.
 */
import type * as estimates from "./run_estimator.ts";

/** A run that has completed successfully. */
export interface EndedRun {
  readonly queue: string;
  readonly estimateMs: number;
  readonly tookMs: number;
  /** Relative speed of its endpoint; for a gang, of the slowest endpoint. */
  readonly speed: number;
}

/** Most recent runs that are kept for each queue. */
const MAX_RUNS_PER_QUEUE = 60;
/** Accurate runs assumed at the start, so that a few outliers change little. */
const PRIOR_RUN_COUNT = 5;
/** Bounds of a correction: beyond them, a queue mixes work of several kinds. */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 2.5;
/** Quantiles that are reported as low, usual and high. */
const LOW_QUANTILE = 0.25;
const USUAL_QUANTILE = 0.5;
const HIGH_QUANTILE = 0.75;

/** Run times of one queue, as multiples of their estimates. */
export interface EstimateAccuracy {
  readonly queue: string;
  readonly runs: number;
  readonly low: number;
  readonly usual: number;
  readonly high: number;
}

/** Computes a correction of the estimates of each queue from completed runs. */
export class EstimateCorrections {
  readonly #ratios = new Map<string, number[]>();
  #corrections: Map<string, number> | null = null;

  /** Records a run that has completed successfully. */
  record({ queue, estimateMs, tookMs, speed }: EndedRun): void {
    const ratio = tookMs * speed / estimateMs;
    if (!Number.isFinite(ratio) || ratio <= 0) return;
    const ratios = this.#ratios.get(queue) ?? [];
    ratios.push(ratio);
    if (ratios.length > MAX_RUNS_PER_QUEUE) ratios.shift();
    this.#ratios.set(queue, ratios);
    this.#corrections = null;
  }

  /** Factors by which estimates are multiplied, by queue. */
  get corrections(): estimates.Corrections {
    this.#corrections ??= new Map(
      this.describe().map(({ queue, usual }) => [queue, usual]),
    );
    return this.#corrections;
  }

  /** Run times of each queue, for operators. */
  describe(): readonly EstimateAccuracy[] {
    return [...this.#ratios].map(([queue, ratios]) => {
      const prior = Array.from({ length: PRIOR_RUN_COUNT }, () => 1);
      const sorted = [...ratios, ...prior].sort((a, b) => a - b);
      const quantileAt = (share: number) =>
        clampCorrection(sorted[Math.floor((sorted.length - 1) * share)]);
      const quantiles = {
        low: quantileAt(LOW_QUANTILE),
        usual: quantileAt(USUAL_QUANTILE),
        high: quantileAt(HIGH_QUANTILE),
      };
      return { queue, runs: ratios.length, ...quantiles };
    });
  }
}

function clampCorrection(ratio: number): number {
  return Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio));
}
