/**
 * What is known of the present life of one endpoint. Nothing that was numbered or
 * timed by a former life holds for the next one, so all of it begins anew with it.
 */
import * as healths from "../endpoints/endpoint_health.ts";
import * as reportedEnds from "./end_ledger.ts";
import * as leaseClocks from "./lease_clock.ts";
import * as evidences from "./life_end.ts";
import * as currentIncarnations from "./present_life.ts";
import type * as sessionOptions from "./session_options.ts";

/** Books of one endpoint, begun anew with each of its lives. */
export class IncarnationState {
  /** Which life answers. */
  readonly current = new currentIncarnations.CurrentIncarnation();
  /** Whether the life that answered last has ended, and none has answered since. */
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

  /** Its own clock, and when its lease runs out. */
  get clock(): leaseClocks.LeaseClock {
    return this.#clock;
  }

  /** Ends that it has listed. */
  get ends(): reportedEnds.ReportedEnds {
    return this.#ends;
  }

  /** How it treats what it is given. */
  get health(): healths.EndpointHealth {
    return this.#health;
  }

  /** What is known of its own end. */
  get endEvidence(): evidences.EndEvidence {
    return this.#endEvidence;
  }

  /** Birth of the life that answered last; null: none did, or it tells none. */
  get bornMs(): number | null {
    return this.current.bornMs;
  }

  /** Birth of the life that a start is likely to reach; null: nothing tells it. */
  get likelyBornMs(): number | null {
    return this.current.hasAnswered ? this.bornMs : this.#options.listedBornMs;
  }

  /** Whether an entry with this birth is of another life than is known here. */
  differsFrom(listedBornMs: number | null): boolean {
    if (listedBornMs === null) return false;
    return listedBornMs !== (this.bornMs ?? this.#options.listedBornMs);
  }

  /** End of a lease that begins now, on its clock. */
  leaseEnd(nowMs: number): number {
    const { longestLeaseMs } = this.#options.ports.bounds;
    return this.#clock.leaseEnd(nowMs, longestLeaseMs);
  }

  /** Another life begins. */
  reset(): void {
    const { clock, bounds } = this.#options.ports;
    const lapsesAtMs = leaseClocks.foreignLapseMs(
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
    const { ref, silences, ports: { clock, log } } = this.#options;
    return new evidences.EndEvidence({ clock, log, ref, silences });
  }
}
