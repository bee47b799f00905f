/**
 * Judges workers by what happened to the runs they were given. A worker that
 * fails is put aside for a while that doubles; a success brings it back.
 */

const FIRST_ASIDE_MS = 1200;
const LONGEST_ASIDE_MS = 20_000;

/** Time for which a worker that is merely slow gets no work. */
const SLOW_ASIDE_MS = 3000;

/** Time after a refusal; what we know of the room there is wrong. */
const REFUSED_ASIDE_MS = 300;

/** One worker's record. */
export class WorkerHealth {
  #failures = 0;
  #asideUntilMs = Number.NEGATIVE_INFINITY;

  /** Whether the worker gets no work now. */
  isAside(nowMs: number): boolean {
    return nowMs < this.#asideUntilMs;
  }

  /** A run ended well. */
  succeeded(): void {
    this.#failures = 0;
    this.#asideUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** An order was refused although there should be room. */
  refused(nowMs: number): void {
    this.#asideUntilMs = Math.max(
      this.#asideUntilMs,
      nowMs + REFUSED_ASIDE_MS,
    );
  }

  /** A run came on much more slowly than others. */
  wasSlow(nowMs: number): void {
    this.#asideUntilMs = Math.max(this.#asideUntilMs, nowMs + SLOW_ASIDE_MS);
  }

  /** A run failed, or an order was not answered. */
  failed(nowMs: number): void {
    const asideMs = Math.min(
      FIRST_ASIDE_MS * 3 ** this.#failures,
      LONGEST_ASIDE_MS,
    );
    this.#failures++;
    this.#asideUntilMs = nowMs + asideMs;
  }
}
