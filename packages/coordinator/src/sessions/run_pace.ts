/**
 * How a run comes on, by what its worker tells. Times are those of the worker's
 * own clock, so that an answer that is late says nothing about the pace.
 */

interface Sample {
  readonly atMs: number;
  readonly percent: number;
}

/** Progress within this time is recent. */
const RECENT_WINDOW_MS = 1300;
/** Progress over less time says too little. */
const MIN_RECENT_SPAN_MS = 450;
/** The same for what came before, in ms: twice as long, as it is compared with. */
const MIN_EARLIER_SPAN_MS = 1000;
/** A member of a gang that waits for the others comes no further. */
const DONE_PERCENT = 100;

/** The pace of one run, from the first look at it. */
export class RunPace {
  readonly #first: Sample;
  /** Recent samples, and the last one before them; oldest first. */
  #samples: Sample[];

  constructor(atMs: number, percent: number) {
    this.#first = { atMs, percent };
    this.#samples = [this.#first];
  }

  /** Takes in what a look has shown. */
  addSample(atMs: number, percent: number): void {
    if (this.percent >= DONE_PERCENT || atMs <= this.#last.atMs) return;
    this.#samples.push({ atMs, percent });
    const beforeMs = atMs - RECENT_WINDOW_MS;
    while (this.#samples.length > 2 && this.#samples[1].atMs <= beforeMs) {
      this.#samples.shift();
    }
  }

  /** Share that is done, 0 to 100. */
  get percent(): number {
    return this.#last.percent;
  }

  /** Time for which the run was watched. */
  get watchedMs(): number {
    return this.#last.atMs - this.#first.atMs;
  }

  /** Share that came in the time watched. */
  get came(): number {
    return this.#last.percent - this.#first.percent;
  }

  /** Percent per millisecond of late; null while too little is known. */
  get recentRate(): number | null {
    return rateBetween(this.#samples[0], this.#last, MIN_RECENT_SPAN_MS);
  }

  /** Percent per millisecond before that; null while too little is known. */
  get earlierRate(): number | null {
    return rateBetween(this.#first, this.#samples[0], MIN_EARLIER_SPAN_MS);
  }

  /** Time that is left at the pace so far; null while too little is known. */
  get remainingMs(): number | null {
    const rate = this.recentRate ??
      rateBetween(this.#first, this.#last, MIN_RECENT_SPAN_MS);
    if (rate === null || rate <= 0) return null;
    return (DONE_PERCENT - this.percent) / rate;
  }

  get #last(): Sample {
    return this.#samples[this.#samples.length - 1];
  }
}

function rateBetween(
  from: Sample,
  to: Sample,
  leastMs: number,
): number | null {
  const spanMs = to.atMs - from.atMs;
  return spanMs < leastMs ? null : (to.percent - from.percent) / spanMs;
}
