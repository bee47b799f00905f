/** What is known of a worker's own clock and of the end of its lease. */

/** Worker clocks may be this much slower than ours. */
const MAX_CLOCK_SLOWDOWN = 1.03;
/** Least pace of a worker's clock; keeps estimates from running ahead. */
const MIN_CLOCK_RATE = 0.98;
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
    if (this.#clockMs !== null && clockMs < this.#endpointNowMs(nowMs)) return;
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
      nowMs + leaseMs * MAX_CLOCK_SLOWDOWN + MARGIN_MS,
    );
    return Math.round(this.#endpointNowMs(nowMs) + leaseMs);
  }

  /** Others may have given a lease that has run out by this time of ours. */
  coverUntil(lapsesAtMs: number): void {
    this.#lapsesAtMs = Math.max(this.#lapsesAtMs, lapsesAtMs);
  }

  /** Whether every lease has surely run out. */
  hasLapsed(nowMs: number): boolean {
    return nowMs >= this.#lapsesAtMs;
  }

  #endpointNowMs(nowMs: number): number {
    return (this.#clockMs ?? 0) + (nowMs - this.#readAtMs) * MIN_CLOCK_RATE;
  }
}

/** Our time by which a lease that others gave until now has run out. */
export function foreignLapseMs(nowMs: number, longestLeaseMs: number): number {
  return nowMs + longestLeaseMs * MAX_CLOCK_SLOWDOWN + MARGIN_MS;
}
