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
const PRIOR_COUNT = 3;
/** Older comparisons fade, because workers change. */
const MOST_COUNT = 15;
/** Runs needed for a comparison. */
const LEAST_RUNS = 3;
/** A run that is this much off says more about a fault than about speed. */
const LEAST_SHARE = 0.5;
const MOST_SHARE = 2;

interface Seen {
  count: number;
  mean: number;
}

/** Speeds of workers; 1 is the usual one. */
export class EndpointSpeeds {
  readonly #seen = new Map<string, Seen>();

  /** Speed of a worker. */
  of(worker: string): number {
    const seen = this.#seen.get(worker);
    if (seen === undefined) return 1;
    const { count, mean } = seen;
    return (PRIOR_COUNT + count * mean) / (PRIOR_COUNT + count);
  }

  /**
   * Compares runs of one step.
   * @param all rates of all runs of the step
   * @param fresh those that were not compared before
   */
  compare(all: readonly number[], fresh: readonly RunRate[]): void {
    if (all.length < LEAST_RUNS) return;
    const sorted = [...all].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    if (median <= 0) return;
    for (const { worker, rate } of fresh) this.#note(worker, rate / median);
  }

  /** Drops what is known of a worker that has gone. */
  forget(worker: string): void {
    this.#seen.delete(worker);
  }

  #note(worker: string, share: number): void {
    if (share < LEAST_SHARE || share > MOST_SHARE) return;
    const seen = this.#seen.get(worker) ?? { count: 0, mean: 1 };
    seen.count = Math.min(seen.count + 1, MOST_COUNT);
    seen.mean += (share - seen.mean) / seen.count;
    this.#seen.set(worker, seen);
  }
}
