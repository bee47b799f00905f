/**
 * Relative speeds of endpoints, learned from tasks of the same step that run on several
 * of them. Tasks of a step differ a little in size, so a speed needs many comparisons.
 */

/** Progress rate of one run; each run is compared once with its siblings. */
export interface RunRate {
  readonly endpoint: string;
  /** Percent per millisecond. */
  readonly rate: number;
}

/** Weight of the prior, the usual speed, in comparisons. */
const PRIOR_WEIGHT = 3;
/**
 * Number of comparisons after which older ones lose weight, because endpoints change.
 */
const MAX_COUNT = 15;
/** Minimum number of runs for a comparison. */
const MIN_RUNS = 3;
/** Ratios outside of these bounds indicate a fault rather than a speed. */
const MIN_RATIO = 0.5;
const MAX_RATIO = 2;

interface SpeedAverage {
  count: number;
  mean: number;
}

/** Speeds of endpoints; 1 is the usual one. */
export class EndpointSpeeds {
  readonly #averages = new Map<string, SpeedAverage>();

  /** Estimated speed of an endpoint. */
  of(endpoint: string): number {
    const average = this.#averages.get(endpoint);
    if (average === undefined) return 1;
    const { count, mean } = average;
    return (PRIOR_WEIGHT + count * mean) / (PRIOR_WEIGHT + count);
  }

  /**
   * Compares runs of one step with their median.
   * @param all rates of all runs of the step
   * @param fresh those that were not compared before
   */
  compare(all: readonly number[], fresh: readonly RunRate[]): void {
    if (all.length < MIN_RUNS) return;
    const sorted = [...all].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    if (median <= 0) return;
    for (const { endpoint, rate } of fresh) this.#note(endpoint, rate / median);
  }

  /** Drops the estimate for an endpoint that is gone. */
  remove(endpoint: string): void {
    this.#averages.delete(endpoint);
  }

  #note(endpoint: string, ratio: number): void {
    if (ratio < MIN_RATIO || ratio > MAX_RATIO) return;
    const average = this.#averages.get(endpoint) ?? { count: 0, mean: 1 };
    average.count = Math.min(average.count + 1, MAX_COUNT);
    average.mean += (ratio - average.mean) / average.count;
    this.#averages.set(endpoint, average);
  }
}
