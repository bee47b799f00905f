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

/**
 * Share of the longest lease that has to be left when a run starts: the lease then
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

  constructor(options: sessionOptions.SessionOptions) {
    this.#options = options;
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

  /** End of a lease that begins now, on the endpoint's clock. */
  leaseEnd(nowMs: number): number {
    const { longestLeaseMs } = this.#options.ports.bounds;
    return this.#clock.leaseEnd(nowMs, longestLeaseMs);
  }

  /** End of the lease of a start with this time limit, on the endpoint's clock. */
  startLeaseEnd(nowMs: number, limitMs: number): number {
    return this.#clock.startLeaseEnd(nowMs, limitMs);
  }

  /** Notes that the incarnation has answered a poll that granted a lease. */
  confirmLease(
    lease: Omit<leaseClocks.ConfirmedLease, "longestLeaseMs">,
  ): void {
    const { longestLeaseMs } = this.#options.ports.bounds;
    this.#clock.confirmLease({ ...lease, longestLeaseMs });
  }

  /** Whether answered polls have leased the endpoint for long enough for new runs. */
  isLeasedForStarts(nowMs: number): boolean {
    const { longestLeaseMs } = this.#options.ports.bounds;
    return this.#clock.isLeasedFor(longestLeaseMs * MIN_LEASE_SHARE, nowMs);
  }

  /** Resets the state for a new incarnation. */
  reset(): void {
    const { clock, bounds } = this.#options.ports;
    const lapsesAtMs = leaseClocks.foreignLeaseEndMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
    this.#clock = new leaseClocks.LeaseClock(lapsesAtMs);
    this.#ends = new reportedEnds.ReportedEnds();
    this.#health = new healths.EndpointHealth();
    this.#endEvidence = this.#createEndEvidence();
    this.hasEnded = false;
  }

  #createEndEvidence(): evidences.EndEvidence {
    const { ref, failureLog, ports: { clock, log } } = this.#options;
    return new evidences.EndEvidence({ clock, log, ref, failureLog });
  }
}
