/**
 * Time without a renewal after which another box takes over: a multiple of the usual
 * interval between renewals, because a slow store stretches them.
 */

/** Number of intervals that have to be seen before they count. */
const MIN_INTERVALS = 3;
/**
 * Lower bound of the limit, in ms: tolerates the loss of two renewals (350 ms) in a
 * row. Also the shortest window in which the holder may grant leases.
 */
export const MIN_SILENCE_MS = 900;
/**
 * Upper bound of the limit, in ms: leases of running work (6 s) have to be renewed in
 * time.
 */
export const MAX_SILENCE_MS = 1600;
/**
 * Longest window of a renewal, in ms. It covers renewals that a store acknowledges after
 * more than two seconds; a takeover that waits for it may outlast leases of 6 s.
 */
export const MAX_WINDOW_MS = 4000;
/** Number of usual intervals that may pass without a renewal. */
const SILENCE_INTERVALS = 2.5;
/** Factor by which the longest interval decays with each renewal. */
const DECAY = 0.8;

/** Intervals of one holder's renewals. */
export class RenewalPace {
  #lastAtMs: number | null = null;
  #intervalCount = 0;
  #longestMs = 0;

  /** Notes a renewal. */
  note(nowMs: number): void {
    if (this.#lastAtMs !== null) {
      const intervalMs = nowMs - this.#lastAtMs;
      this.#longestMs = Math.max(intervalMs, this.#longestMs * DECAY);
      this.#intervalCount++;
    }
    this.#lastAtMs = nowMs;
  }

  /**
   * Forgets the intervals, because another box holds the row or the feed was
   * interrupted.
   */
  reset(): void {
    this.#lastAtMs = null;
    this.#intervalCount = 0;
    this.#longestMs = 0;
  }

  /** Time without a renewal after which the holder counts as lost, in ms. */
  get silenceLimitMs(): number {
    if (this.#intervalCount < MIN_INTERVALS) return MAX_SILENCE_MS;
    const usualMs = this.#longestMs * SILENCE_INTERVALS;
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, usualMs));
  }
}
