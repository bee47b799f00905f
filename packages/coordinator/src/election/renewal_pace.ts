/**
 * How long a holder may be silent before another node takes over: some usual
 * times between its renewals, because a slow store stretches them.
 */

/** Renewals that have to be seen before their pace counts. */
const MIN_INTERVALS = 3;
/** Two renewals (350 ms) that are lost in a row are borne, in ms. */
const MIN_SILENCE_MS = 900;
/** Running work must be renewed within a lease of 6 s, in ms. */
const MAX_SILENCE_MS = 1600;
/** Usual intervals that may pass without a renewal. */
const SILENCE_INTERVALS = 2.5;
/** Weight that an earlier long interval keeps with each renewal. */
const DECAY = 0.8;

/** Pace of one holder's renewals. */
export class RenewalPace {
  #lastAtMs: number | null = null;
  #intervalCount = 0;
  #longestMs = 0;

  /** The holder has renewed. */
  note(nowMs: number): void {
    if (this.#lastAtMs !== null) {
      const intervalMs = nowMs - this.#lastAtMs;
      this.#longestMs = Math.max(intervalMs, this.#longestMs * DECAY);
      this.#intervalCount++;
    }
    this.#lastAtMs = nowMs;
  }

  /** Another node holds the row now. */
  reset(): void {
    this.#lastAtMs = null;
    this.#intervalCount = 0;
    this.#longestMs = 0;
  }

  /** Silence after which the holder is taken for lost. */
  get silenceLimitMs(): number {
    if (this.#intervalCount < MIN_INTERVALS) return MAX_SILENCE_MS;
    const usualMs = this.#longestMs * SILENCE_INTERVALS;
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, usualMs));
  }
}
