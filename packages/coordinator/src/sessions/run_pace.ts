/**
 * Measures the progress that an endpoint reports for a run. Times are those of the
 * endpoint's clock, so that the delay of an answer does not affect the pace.
 */

interface Sample {
  readonly atMs: number;
  readonly percent: number;
}

/** Time span of recent progress, in ms. */
const RECENT_WINDOW_MS = 1300;
/** Minimum time span for a recent rate, in ms; shorter ones are too inaccurate. */
const MIN_RECENT_SPAN_MS = 450;
/** Minimum time span for the earlier rate, in ms: longer, as it is the reference. */
const MIN_EARLIER_SPAN_MS = 1000;
/** Progress of a finished run, also of a gang member that waits for the others. */
const DONE_PERCENT = 100;

/** Pace of one run since its first report. */
export class RunPace {
  readonly #first: Sample;
  /** Recent samples and the last one before them; oldest first. */
  #samples: Sample[];

  constructor(atMs: number, percent: number) {
    this.#first = { atMs, percent };
    this.#samples = [this.#first];
  }

  /** Adds a reported sample. */
  addSample(atMs: number, percent: number): void {
    if (this.percent >= DONE_PERCENT || atMs <= this.#last.atMs) return;
    this.#samples.push({ atMs, percent });
    const beforeMs = atMs - RECENT_WINDOW_MS;
    while (this.#samples.length > 2 && this.#samples[1].atMs <= beforeMs) {
      this.#samples.shift();
    }
  }

  /** Progress in percent, 0 to 100. */
  get percent(): number {
    return this.#last.percent;
  }

  /** Time between the first and the last sample, in ms. */
  get watchedMs(): number {
    return this.#last.atMs - this.#first.atMs;
  }

  /** Progress in percent between the first and the last sample. */
  get gainedPercent(): number {
    return this.#last.percent - this.#first.percent;
  }

  /** Recent rate in percent per ms; null if there are too few samples. */
  get recentRate(): number | null {
    return rateBetween(this.#samples[0], this.#last, MIN_RECENT_SPAN_MS);
  }

  /** Rate before that in percent per ms; null if there are too few samples. */
  get earlierRate(): number | null {
    return rateBetween(this.#first, this.#samples[0], MIN_EARLIER_SPAN_MS);
  }

  /** Remaining time at the current rate, in ms; null if no rate is known. */
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
