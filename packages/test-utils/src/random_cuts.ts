/** Endpoints that are cut off at random while their entries lapse and return. */
import * as StandIns from "@cairngate/stand-ins";
import * as cutting from "./endpoint_cuts.ts";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the changes in which an endpoint is cut off, 0 to 1: five in a play. */
const CUT_SHARE = 0.4;
/** Share of the cuts that strike two endpoints at once, 0 to 1: one in a play. */
const PAIR_SHARE = 0.25;
/** Length of a cut, in ms: from a hiccup to twice the longest lease, 6 s. */
const LENGTH_MS = { least: 1000, most: 12_000 };
/** Most time by which an entry returns before or after its endpoint, in ms. */
const OFF_MS = 2000;

/** Cuts of one play; each endpoint lives on. */
export class RandomCuts {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #cuts: cutting.EndpointCuts;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
    this.#cuts = new cutting.EndpointCuts(fleet);
  }

  /** Cuts none, one or two endpoints off. */
  change(): void {
    if (this.#random.next() >= CUT_SHARE) return;
    const count = this.#random.next() < PAIR_SHARE ? 2 : 1;
    const lives = this.#fleet.workers.listLives();
    for (let i = 0; i < count && lives.length > 0; i++) {
      this.#cuts.begin(this.#random.choose(lives), this.#draw());
    }
  }

  /** What becomes of orders to an endpoint; null while it is not cut off. */
  fateOf(id: string): StandIns.OrderFate | null {
    return this.#cuts.fateOf(id);
  }

  /** All are reached and listed again. */
  endAll(): void {
    this.#cuts.endAll();
  }

  #draw(): cutting.CutShape {
    const { Lost, Silent } = StandIns.OrderFate;
    const healsMs = this.#random.between(LENGTH_MS.least, LENGTH_MS.most);
    const entryGoesMs = this.#random.between(0, healsMs);
    const offMs = this.#random.between(-OFF_MS, OFF_MS);
    const entryBackMs = Math.max(entryGoesMs, healsMs + offMs);
    const fate = this.#random.choose([Lost, Silent] as const);
    return { fate, healsMs, entryGoesMs, entryBackMs };
  }
}
