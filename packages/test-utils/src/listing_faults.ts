/** Faults of the endpoint list: its entries do not match the running endpoints. */
import type * as StandIns from "@cairngate/stand-ins";
import * as foreign from "./foreign_entries.ts";
import * as groups from "./group_crashes.ts";
import * as randomCuts from "./random_cuts.ts";
import type * as fleets from "./test_fleet.ts";

/** Faults of the list in a simulation. */
export interface ListingFaultOptions {
  /** Endpoints are cut off and their entries removed while they keep running. */
  readonly cutsEndpoints?: boolean;
  /** Another writer adds entries that belong to no incarnation of an endpoint. */
  readonly foreignEntries?: boolean;
  /** Endpoints crash in groups, and their entries outlast them. */
  readonly crashesInGroups?: boolean;
}

/** Offsets from the seed, so that each fault has its own random numbers. */
const SEED_OFFSETS = { cuts: 1_000_003, entries: 2_000_003, groups: 3_000_017 };

/**
 * Transit time of an order, in ms: the minimum of a network. Without it, an answer
 * comes in the same turn as its request, before the coordinator's next step in that
 * turn, which no real endpoint can do.
 */
const ORDER_DELAY_MS = 1;

/** The list faults of one simulation. */
export class ListingFaults {
  readonly #cuts: randomCuts.RandomCuts | null;
  readonly #entries: foreign.ForeignEntries | null;
  readonly #groups: groups.GroupCrashes | null;

  constructor(
    fleet: fleets.TestFleet,
    seed: number,
    options: ListingFaultOptions,
  ) {
    const { cutsEndpoints, foreignEntries, crashesInGroups } = options;
    const hasAny = cutsEndpoints || foreignEntries || crashesInGroups;
    if (hasAny) fleet.workers.transitMs = ORDER_DELAY_MS;
    this.#cuts = cutsEndpoints
      ? new randomCuts.RandomCuts(fleet, seed + SEED_OFFSETS.cuts)
      : null;
    this.#entries = foreignEntries
      ? new foreign.ForeignEntries(fleet, seed + SEED_OFFSETS.entries)
      : null;
    this.#groups = crashesInGroups
      ? new groups.GroupCrashes(fleet, seed + SEED_OFFSETS.groups)
      : null;
  }

  /** Gives each fault the chance to change something. */
  change(): void {
    this.#cuts?.change();
    this.#entries?.change();
    this.#groups?.change();
  }

  /** Outcome of orders to an endpoint; null while these faults do not affect them. */
  outcomeOf(id: string): StandIns.OrderOutcome | null {
    return this.#cuts?.outcomeOf(id) ?? null;
  }

  /** Ends cuts and foreign entries; the heartbeats of endpoints go on. */
  endAll(): void {
    this.#cuts?.endAll();
    this.#entries?.endAll();
  }

  /** Stops the heartbeats at the end of the simulation. */
  stop(): void {
    this.#groups?.end();
  }
}
