/**
 * What estimates are worth: runs of a queue beside what their callers guessed. A gang
 * lasts as long as its longest task, so its runs take longer than the guess for one.
 */
import type * as estimates from "./expected_run.ts";

/** A run that has ended well. */
export interface EndedRun {
  readonly queue: string;
  readonly estimateMs: number;
  readonly tookMs: number;
  /** Speed of its endpoint, or of the slowest that its gang ran on. */
  readonly speed: number;
}

/** Runs of a queue that are remembered: newer ones take the place of older ones. */
const MAX_RUNS_PER_QUEUE = 60;
/** Runs that speak for a true estimate from the start. */
const PRIOR_RUN_COUNT = 5;
/** Bounds of a correction: beyond them a queue has work of several kinds. */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 2.5;
/** Shares of the runs that are shorter than the low, the usual and the high ones. */
const LOW_QUANTILE = 0.25;
const USUAL_QUANTILE = 0.5;
const HIGH_QUANTILE = 0.75;

/** What the runs of one queue took, as multiples of their estimates. */
export interface EstimateWorth {
  readonly queue: string;
  readonly runs: number;
  readonly low: number;
  readonly usual: number;
  readonly high: number;
}

/** Corrections of estimates by queue, learned from runs that have ended. */
export class EstimateBook {
  readonly #ratios = new Map<string, number[]>();
  #corrections: Map<string, number> | null = null;

  /** Takes in a run that has ended well. */
  note({ queue, estimateMs, tookMs, speed }: EndedRun): void {
    const ratio = tookMs * speed / estimateMs;
    if (!Number.isFinite(ratio) || ratio <= 0) return;
    const ratios = this.#ratios.get(queue) ?? [];
    ratios.push(ratio);
    if (ratios.length > MAX_RUNS_PER_QUEUE) ratios.shift();
    this.#ratios.set(queue, ratios);
    this.#corrections = null;
  }

  /** Corrections by queue, within bounds. */
  get corrections(): estimates.Corrections {
    this.#corrections ??= new Map(
      this.describe().map(({ queue, usual }) => [queue, usual]),
    );
    return this.#corrections;
  }

  /** What is known of each queue, for people. */
  describe(): readonly EstimateWorth[] {
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
