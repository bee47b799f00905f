/** List entries of another writer that belong to no incarnation of an endpoint. */
import type * as Ports from "@cairngate/ports";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the changes that add an entry, 0 to 1. */
const ADD_SHARE = 0.5;
/** Share of the changes that remove one, 0 to 1: fewer, so that entries accumulate. */
const REMOVE_SHARE = 0.4;
/** Share of the entries that are never removed, 0 to 1. */
const PERMANENT_SHARE = 0.2;
/** Limit on entries at a time: fewer than the four endpoints of a simulation. */
const MAX_ENTRIES = 3;

/** Derives an entry without an incarnation from the entry of an endpoint. */
type EntryVariant = (entry: Ports.EndpointListing) => Ports.EndpointListing;

const ENTRY_VARIANTS: readonly EntryVariant[] = [
  // Looks usable and has the address of the endpoint.
  (entry) => entry,
  (entry) => ({ ...entry, service: "nobody-names-it", accelerators: 0 }),
  (entry) => ({ ...entry, service: "nobody-names-it" }),
  // An address without a listener.
  (entry) => ({ ...entry, address: "10.9.9.9:80" }),
];

/** The other writer of one simulation. */
export class ForeignEntries {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #listed: { readonly id: string; readonly isPermanent: boolean }[] =
    [];
  #written = 0;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
  }

  /** May remove an entry and may add one. */
  change(): void {
    if (this.#random.next() < REMOVE_SHARE) this.#removeOne();
    if (this.#random.next() < ADD_SHARE) this.#add();
  }

  /** Removes all entries that are not permanent. */
  endAll(): void {
    for (const { id, isPermanent } of this.#listed) {
      if (!isPermanent) this.#fleet.unlist(id);
    }
  }

  #removeOne(): void {
    const first = this.#listed.findIndex(({ isPermanent }) => !isPermanent);
    if (first < 0) return;
    const [{ id }] = this.#listed.splice(first, 1);
    this.#fleet.unlist(id);
  }

  #add(): void {
    const ids = this.#fleet.workers.listRunning();
    if (ids.length === 0 || this.#listed.length >= MAX_ENTRIES) return;
    const entry = this.#fleet.entryOf(this.#random.choose(ids));
    const vary = this.#random.choose(ENTRY_VARIANTS);
    const isPermanent = this.#random.next() < PERMANENT_SHARE;
    if (entry === null) return;
    const id = `foreign-${this.#written++}`;
    this.#fleet.writeEntry({ ...vary(entry), id });
    this.#listed.push({ id, isPermanent });
  }
}
