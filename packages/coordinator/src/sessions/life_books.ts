/**
 * What is known of the present life of one endpoint. Nothing that was numbered or
 * timed by a former life holds for the next one, so all of it begins anew with it.
 */
import * as healths from "../endpoints/endpoint_health.ts";
import * as endLedgers from "./end_ledger.ts";
import * as leaseClocks from "./lease_clock.ts";
import * as lifeEnds from "./life_end.ts";
import * as presentLives from "./present_life.ts";
import type * as sessionOptions from "./session_options.ts";

/** Books of one endpoint, begun anew with each of its lives. */
export class LifeBooks {
  /** Which life answers. */
  readonly present = new presentLives.PresentLife();
  /** Whether the life that answered last has ended, and none has answered since. */
  hasEnded = false;
  readonly #options: sessionOptions.SessionOptions;
  #clock: leaseClocks.LeaseClock;
  #ends = new endLedgers.EndLedger();
  #health = new healths.EndpointHealth();
  #ending: lifeEnds.LifeEnd;

  constructor(options: sessionOptions.SessionOptions) {
    this.#options = options;
    this.#clock = new leaseClocks.LeaseClock(options.lapsesAtMs);
    this.#ending = this.#watchEnding();
  }

  /** Its own clock, and when its lease runs out. */
  get clock(): leaseClocks.LeaseClock {
    return this.#clock;
  }

  /** Ends that it has listed. */
  get ends(): endLedgers.EndLedger {
    return this.#ends;
  }

  /** How it treats what it is given. */
  get health(): healths.EndpointHealth {
    return this.#health;
  }

  /** What is known of its own end. */
  get ending(): lifeEnds.LifeEnd {
    return this.#ending;
  }

  /** Birth of the life that answered last; null: none did, or it tells none. */
  get bornMs(): number | null {
    return this.present.bornMs;
  }

  /** Birth of the life that a start is likely to reach; null: nothing tells it. */
  get likelyBornMs(): number | null {
    return this.present.wasHeard ? this.bornMs : this.#options.listedBornMs;
  }

  /** Whether an entry with this birth is of another life than is known here. */
  isOfOther(listedBornMs: number | null): boolean {
    if (listedBornMs === null) return false;
    return listedBornMs !== (this.bornMs ?? this.#options.listedBornMs);
  }

  /** End of a lease that begins now, on its clock. */
  leaseEnd(nowMs: number): number {
    const { longestLeaseMs } = this.#options.ports.bounds;
    return this.#clock.leaseEnd(nowMs, longestLeaseMs);
  }

  /** Another life begins. */
  begin(): void {
    const { clock, bounds } = this.#options.ports;
    const lapsesAtMs = leaseClocks.foreignLapseMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
    this.#clock = new leaseClocks.LeaseClock(lapsesAtMs);
    this.#ends = new endLedgers.EndLedger();
    this.#health = new healths.EndpointHealth();
    this.#ending = this.#watchEnding();
    this.hasEnded = false;
  }

  #watchEnding(): lifeEnds.LifeEnd {
    const { ref, silences, ports: { clock, log } } = this.#options;
    return new lifeEnds.LifeEnd({ clock, log, ref, silences });
  }
}
