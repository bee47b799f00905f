/** Entries that do not tell which endpoints live: all kinds of them in one play. */
import type * as StandIns from "@cairngate/stand-ins";
import * as foreigners from "./foreign_entries.ts";
import * as groups from "./group_crashes.ts";
import * as cutting from "./random_cuts.ts";
import type * as fleets from "./test_fleet.ts";

/** Which of them a play has. */
export interface LapseKinds {
  /** Endpoints are cut off while their entries lapse, and live on. */
  readonly cutsEndpoints?: boolean;
  /** Other writers make entries that name no life. */
  readonly foreignEntries?: boolean;
  /** Endpoints end in groups; their entries outlast them. */
  readonly crashesInGroups?: boolean;
}

/** Whole steps from the seed, so that each kind draws numbers of its own. */
const SEED_STEPS = { cuts: 1_000_003, entries: 2_000_003, groups: 3_000_017 };

/**
 * Time of an order on its way, in ms, the least that a network takes. An answer in
 * the same turn as its question comes before whatever the coordinator does next in
 * that turn, as no endpoint's can.
 */
const WAY_MS = 1;

/** The lapses of one play. */
export class RandomLapses {
  readonly #cuts: cutting.RandomCuts | null;
  readonly #entries: foreigners.ForeignEntries | null;
  readonly #groups: groups.GroupCrashes | null;

  constructor(fleet: fleets.TestFleet, seed: number, kinds: LapseKinds) {
    const { cutsEndpoints, foreignEntries, crashesInGroups } = kinds;
    const hasAny = cutsEndpoints || foreignEntries || crashesInGroups;
    if (hasAny) fleet.workers.wayMs = WAY_MS;
    this.#cuts = cutsEndpoints
      ? new cutting.RandomCuts(fleet, seed + SEED_STEPS.cuts)
      : null;
    this.#entries = foreignEntries
      ? new foreigners.ForeignEntries(fleet, seed + SEED_STEPS.entries)
      : null;
    this.#groups = crashesInGroups
      ? new groups.GroupCrashes(fleet, seed + SEED_STEPS.groups)
      : null;
  }

  /** Each kind may change something. */
  change(): void {
    this.#cuts?.change();
    this.#entries?.change();
    this.#groups?.change();
  }

  /** What becomes of orders to an endpoint; null where no lapse decides it. */
  fateOf(id: string): StandIns.OrderFate | null {
    return this.#cuts?.fateOf(id) ?? null;
  }

  /** Nothing lapses any more; endpoints that live write their entries on. */
  endAll(): void {
    this.#cuts?.endAll();
    this.#entries?.endAll();
  }

  /** The play is over. */
  stop(): void {
    this.#groups?.end();
  }
}
