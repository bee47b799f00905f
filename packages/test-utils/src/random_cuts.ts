/** Random cuts of endpoints whose list entries are removed and return. */
import * as StandIns from "@cairngate/stand-ins";
import * as endpointCuts from "./endpoint_cuts.ts";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the changes that cut off endpoints, 0 to 1: five in a simulation. */
const CUT_SHARE = 0.4;
/** Share of the cuts that hit two endpoints, 0 to 1: one in a simulation. */
const PAIR_SHARE = 0.25;
/** Duration of a cut, in ms: up to twice the longest lease, 6 s. */
const CUT_MS = { min: 1000, max: 12_000 };
/** Longest time by which an entry returns before or after its endpoint, in ms. */
const MAX_ENTRY_OFFSET_MS = 2000;

/** Random cuts of one simulation; the endpoints keep running. */
export class RandomCuts {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #cuts: endpointCuts.EndpointCuts;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
    this.#cuts = new endpointCuts.EndpointCuts(fleet);
  }

  /** Cuts off no, one or two endpoints. */
  change(): void {
    if (this.#random.next() >= CUT_SHARE) return;
    const count = this.#random.next() < PAIR_SHARE ? 2 : 1;
    const ids = this.#fleet.workers.listRunning();
    for (let i = 0; i < count && ids.length > 0; i++) {
      this.#cuts.begin(this.#random.choose(ids), this.#drawSchedule());
    }
  }

  /** Outcome of orders to an endpoint; null while orders reach it. */
  outcomeOf(id: string): StandIns.OrderOutcome | null {
    return this.#cuts.outcomeOf(id);
  }

  /** Ends all cuts and lists the endpoints again. */
  endAll(): void {
    this.#cuts.endAll();
  }

  #drawSchedule(): endpointCuts.CutSchedule {
    const { Lost, Silent } = StandIns.OrderOutcome;
    const endsMs = this.#random.between(CUT_MS.min, CUT_MS.max);
    const entryRemovedMs = this.#random.between(0, endsMs);
    const offsetMs = this.#random.between(
      -MAX_ENTRY_OFFSET_MS,
      MAX_ENTRY_OFFSET_MS,
    );
    const entryRelistedMs = Math.max(entryRemovedMs, endsMs + offsetMs);
    const outcome = this.#random.choose([Lost, Silent] as const);
    return {
      outcome,
      endsMs,
      entryRemovedMs,
      entryRelistedMs,
    };
  }
}
