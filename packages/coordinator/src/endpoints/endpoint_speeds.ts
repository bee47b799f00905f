/**
 * How fast workers are beside each other, learned from tasks of the same step
 * that run on several of them. Tasks of a step differ a little in size, so one
 * comparison says little and many say much.
 */

/** The rate of one run, compared once with those of its siblings. */
export interface RunRate {
  readonly worker: string;
  /** Percent per millisecond. */
  readonly rate: number;
}

/** Comparisons that speak for the usual speed from the start. */
const PRIOR_WEIGHT = 3;
/** Older comparisons fade, because workers change. */
const MAX_COUNT = 15;
/** Runs needed for a comparison. */
const MIN_RUNS = 3;
/** A run that is this much off says more about a fault than about speed. */
const MIN_RATIO = 0.5;
const MAX_RATIO = 2;

interface SpeedAverage {
  count: number;
  mean: number;
}

/** Speeds of workers; 1 is the usual one. */
export class EndpointSpeeds {
  readonly #averages = new Map<string, SpeedAverage>();

  /** Speed of a worker. */
  of(worker: string): number {
    const average = this.#averages.get(worker);
    if (average === undefined) return 1;
    const { count, mean } = average;
    return (PRIOR_WEIGHT + count * mean) / (PRIOR_WEIGHT + count);
  }

  /**
   * Compares runs of one step.
   * @param all rates of all runs of the step
   * @param fresh those that were not compared before
   */
  compare(all: readonly number[], fresh: readonly RunRate[]): void {
    if (all.length < MIN_RUNS) return;
    const sorted = [...all].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    if (median <= 0) return;
    for (const { worker, rate } of fresh) this.#note(worker, rate / median);
  }

  /** Drops what is known of a worker that has gone. */
  remove(worker: string): void {
    this.#averages.delete(worker);
  }

  #note(worker: string, ratio: number): void {
    if (ratio < MIN_RATIO || ratio > MAX_RATIO) return;
    const average = this.#averages.get(worker) ?? { count: 0, mean: 1 };
    average.count = Math.min(average.count + 1, MAX_COUNT);
    average.mean += (ratio - average.mean) / average.count;
    this.#averages.set(worker, average);
  }
}
