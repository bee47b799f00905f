/**
 * State of the current incarnation of one endpoint. Numbers and times of an earlier
 * incarnation do not hold for the next one, so a new incarnation resets all of it.
 */
import * as healths from "../endpoints/endpoint_health.ts";
import * as reportedEnds from "./reported_ends.ts";
import * as leaseClocks from "./lease_clock.ts";
import * as evidences from "./end_evidence.ts";
import * as currentIncarnations from "./current_incarnation.ts";
import type * as sessionOptions from "./session_options.ts";
import * as unansweredStarts from "./unanswered_starts.ts";

/**
 * Share of a granted lease that has to be left when a run starts: the lease then
 * outlasts two lost polls.
 */
const MIN_LEASE_SHARE = 2 / 3;

/** State of one endpoint that each of its incarnations resets. */
export class IncarnationState {
  /** Identifies the incarnation that answers. */
  readonly current = new currentIncarnations.CurrentIncarnation();
  /**
   * Whether the incarnation that answered last has ended and none has answered since.
   */
  hasEnded = false;
  readonly #options: sessionOptions.SessionOptions;
  #clock: leaseClocks.LeaseClock;
  #ends = new reportedEnds.ReportedEnds();
  #health = new healths.EndpointHealth();
  #endEvidence: evidences.EndEvidence;
  /**
   * Time until which an order to the previous incarnation may still arrive. On the clock
   * of this one, its lease may seem to be the longest.
   */
  #previousOrdersUntilMs: number;

  constructor(options: sessionOptions.SessionOptions) {
    this.#options = options;
    this.#previousOrdersUntilMs = options.previousOrdersUntilMs;
    this.#clock = new leaseClocks.LeaseClock(options.lapsesAtMs);
    this.#endEvidence = this.#createEndEvidence();
  }

  /** Clock of the endpoint and end of its lease. */
  get clock(): leaseClocks.LeaseClock {
    return this.#clock;
  }

  /** Ends of runs that the endpoint has reported. */
  get ends(): reportedEnds.ReportedEnds {
    return this.#ends;
  }

  /** How reliably the endpoint executes its runs. */
  get health(): healths.EndpointHealth {
    return this.#health;
  }

  /** Evidence on the end of this incarnation. */
  get endEvidence(): evidences.EndEvidence {
    return this.#endEvidence;
  }

  /** Birth time of the last incarnation that answered; null if none is known. */
  get bornMs(): number | null {
    return this.current.bornMs;
  }

  /** Birth time of the incarnation that a start probably reaches; null if unknown. */
  get likelyBornMs(): number | null {
    return this.current.hasAnswered ? this.bornMs : this.#options.listedBornMs;
  }

  /** Whether an entry with this birth time is of another incarnation. */
  differsFrom(listedBornMs: number | null): boolean {
    if (listedBornMs === null) return false;
    return listedBornMs !== (this.bornMs ?? this.#options.listedBornMs);
  }

  /** Duration of the leases that are granted here, in ms. */
  get grantedLeaseMs(): number {
    const { longestLeaseMs } = this.#options.ports.bounds;
    return leaseClocks.grantedLeaseMs(longestLeaseMs);
  }

  /** End of a lease that begins now, on the endpoint's clock. */
  leaseEnd(nowMs: number): number {
    if (nowMs < this.#previousOrdersUntilMs) {
      this.#clock.coverUntil(this.#longestLeaseEndMs(nowMs));
    }
    return this.#clock.leaseEnd(nowMs, this.grantedLeaseMs);
  }

  /** End of the lease of a start with this time limit, on the endpoint's clock. */
  startLeaseEnd(nowMs: number, limitMs: number): number {
    return this.#clock.startLeaseEnd(nowMs, limitMs);
  }

  /** Notes that the incarnation has answered a poll that granted a lease. */
  confirmLease(
    lease: Omit<leaseClocks.ConfirmedLease, "leaseMs">,
  ): void {
    const leaseMs = this.grantedLeaseMs;
    this.#clock.confirmLease({ ...lease, leaseMs });
  }

  /** Whether answered polls have leased the endpoint for long enough for new runs. */
  isLeasedForStarts(nowMs: number): boolean {
    const leaseMs = this.grantedLeaseMs * MIN_LEASE_SHARE;
    return this.#clock.isLeasedFor(leaseMs, nowMs);
  }

  /** Resets the state for a new incarnation. */
  reset(): void {
    const nowMs = this.#options.ports.clock.monotonicMs();
    this.#previousOrdersUntilMs = nowMs +
      unansweredStarts.LONGEST_ORDER_DELAY_MS;
    this.#clock = new leaseClocks.LeaseClock(this.#longestLeaseEndMs(nowMs));
    this.#ends = new reportedEnds.ReportedEnds();
    this.#health = new healths.EndpointHealth();
    this.#endEvidence = this.#createEndEvidence();
    this.hasEnded = false;
  }

  #longestLeaseEndMs(nowMs: number): number {
    const { longestLeaseMs } = this.#options.ports.bounds;
    return leaseClocks.foreignLeaseEndMs(nowMs, longestLeaseMs);
  }

  #createEndEvidence(): evidences.EndEvidence {
    const { ref, failureLog, ports: { clock, log } } = this.#options;
    return new evidences.EndEvidence({ clock, log, ref, failureLog });
  }
}
