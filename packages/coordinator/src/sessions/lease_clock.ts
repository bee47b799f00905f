/** Estimates the clock of an endpoint and the end of its lease. */

/** Factor by which the clock of an endpoint may be slower than that of this box. */
const MAX_CLOCK_SLOWDOWN = 1.03;
/**
 * Minimum rate of an endpoint's clock relative to this box. Estimates assume it, so
 * that they do not run ahead.
 */
const MIN_CLOCK_RATE = 0.98;
/** Margin in ms for rounding and for estimates that are slightly ahead. */
const MARGIN_MS = 250;

/**
 * Longest lease that is granted, in ms. A run whose endpoint is gone starts again only
 * after its lease, and callers accept that work stands still for 7 s: this leaves 0.5 s
 * beyond the clock's slowdown and the margin to notice the end and to start.
 */
const MAX_GRANTED_LEASE_MS = 6000;

/** A lease that an answered poll has granted. */
export interface ConfirmedLease {
  /** End of the lease, on the endpoint's clock. */
  readonly leaseUntilMs: number;
  /** Time of the answer, on the endpoint's clock. */
  readonly clockMs: number;
  /** Time at which the poll was sent, by this box's clock. */
  readonly sentAtMs: number;
  readonly nowMs: number;
  /** Duration of the lease, in ms. */
  readonly leaseMs: number;
}

/** Reads the clock of an endpoint and bounds its lease. */
export class LeaseClock {
  #clockMs: number | null = null;
  #readAtMs = 0;
  #lapsesAtMs: number;
  /** Time of this box's clock until which answered polls have leased the endpoint. */
  #confirmedUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * @param lapsesAtMs time of this box's clock by which an earlier lease has expired
   */
  constructor(lapsesAtMs: number) {
    this.#lapsesAtMs = lapsesAtMs;
  }

  /** Takes a reading of the endpoint's clock; ignores one behind the estimate. */
  read(clockMs: number, nowMs: number): void {
    if (this.#clockMs !== null && clockMs < this.#endpointNowMs(nowMs)) return;
    this.#clockMs = clockMs;
    this.#readAtMs = nowMs;
  }

  /** Whether the clock of the endpoint is known. */
  get isKnown(): boolean {
    return this.#clockMs !== null;
  }

  /** End of a lease that begins now, on the endpoint's clock. */
  leaseEnd(nowMs: number, leaseMs: number): number {
    this.#lapsesAtMs = Math.max(
      this.#lapsesAtMs,
      nowMs + leaseMs * MAX_CLOCK_SLOWDOWN + MARGIN_MS,
    );
    return Math.round(this.#endpointNowMs(nowMs) + leaseMs);
  }

  /** End of the lease of a start with this time limit, on the endpoint's clock. */
  startLeaseEnd(nowMs: number, limitMs: number): number {
    return this.leaseEnd(nowMs, limitMs + MARGIN_MS);
  }

  /** Notes that the endpoint has answered a poll that granted a lease. */
  confirmLease(
    { leaseUntilMs, clockMs, sentAtMs, nowMs, leaseMs }: ConfirmedLease,
  ): void {
    // The first bound holds if the estimate of the endpoint's clock lagged, the second one
    // if this box was late to process the answer.
    const untilMs = Math.min(
      nowMs + leaseUntilMs - clockMs,
      sentAtMs + leaseMs,
    );
    this.#confirmedUntilMs = Math.max(this.#confirmedUntilMs, untilMs);
  }

  /** Whether answered polls have leased the endpoint for at least this time. */
  isLeasedFor(leaseMs: number, nowMs: number): boolean {
    return nowMs + leaseMs <= this.#confirmedUntilMs;
  }

  /**
   * Notes that another coordinator may have granted a lease that expires by this time
   * of this box's clock.
   */
  coverUntil(lapsesAtMs: number): void {
    this.#lapsesAtMs = Math.max(this.#lapsesAtMs, lapsesAtMs);
  }

  /** Time of this box's clock by which every lease has expired. */
  get lapsesAtMs(): number {
    return this.#lapsesAtMs;
  }

  /** Whether every lease has certainly expired. */
  hasLapsed(nowMs: number): boolean {
    return nowMs >= this.#lapsesAtMs;
  }

  /** Shortens a wait that would outlast the leases to their end. */
  cutToLapse(waitMs: number, nowMs: number): number {
    const leftMs = this.#lapsesAtMs - nowMs;
    return leftMs > 0 ? Math.min(waitMs, leftMs) : waitMs;
  }

  #endpointNowMs(nowMs: number): number {
    return (this.#clockMs ?? 0) + (nowMs - this.#readAtMs) * MIN_CLOCK_RATE;
  }
}

/** Duration of the leases that this coordinator grants, in ms. */
export function grantedLeaseMs(longestLeaseMs: number): number {
  return Math.min(longestLeaseMs, MAX_GRANTED_LEASE_MS);
}

/** Time by which leases that others granted until now expire, by this box's clock. */
export function foreignLeaseEndMs(
  nowMs: number,
  longestLeaseMs: number,
): number {
  return nowMs + longestLeaseMs * MAX_CLOCK_SLOWDOWN + MARGIN_MS;
}
