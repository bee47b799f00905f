/** What is known of a worker's own clock and of the end of its lease. */

/** Worker clocks may be this much slower than ours. */
const SLOW_FACTOR = 1.03;
/** Least pace of a worker's clock; keeps estimates from running ahead. */
const LEAST_PACE = 0.98;
/** Covers rounding and estimates that are slightly ahead. */
const MARGIN_MS = 250;

/** Reads a worker's clock and bounds its lease. */
export class LeaseClock {
  #clockMs: number | null = null;
  #readAtMs = 0;
  #lapsesAtMs: number;

  /** @param lapsesAtMs our time by which an earlier lease has run out */
  constructor(lapsesAtMs: number) {
    this.#lapsesAtMs = lapsesAtMs;
  }

  /** Takes in a reading; an older one than known changes nothing. */
  read(clockMs: number, nowMs: number): void {
    if (this.#clockMs !== null && clockMs < this.#nowOnWorker(nowMs)) return;
    this.#clockMs = clockMs;
    this.#readAtMs = nowMs;
  }

  /** Whether the clock is known. */
  get isKnown(): boolean {
    return this.#clockMs !== null;
  }

  /** End of a lease that begins now, on the worker's clock. */
  leaseEnd(nowMs: number, leaseMs: number): number {
    this.#lapsesAtMs = Math.max(
      this.#lapsesAtMs,
      nowMs + leaseMs * SLOW_FACTOR + MARGIN_MS,
    );
    return Math.round(this.#nowOnWorker(nowMs) + leaseMs);
  }

  /** Others may have given a lease that has run out by this time of ours. */
  cover(lapsesAtMs: number): void {
    this.#lapsesAtMs = Math.max(this.#lapsesAtMs, lapsesAtMs);
  }

  /** Whether every lease has surely run out. */
  hasLapsed(nowMs: number): boolean {
    return nowMs >= this.#lapsesAtMs;
  }

  #nowOnWorker(nowMs: number): number {
    return (this.#clockMs ?? 0) + (nowMs - this.#readAtMs) * LEAST_PACE;
  }
}

/** Our time by which a lease that others gave until now has run out. */
export function foreignLapseMs(nowMs: number, longestLeaseMs: number): number {
  return nowMs + longestLeaseMs * SLOW_FACTOR + MARGIN_MS;
}
