/** Entries of the list that other writers make, and that name no life. */
import type * as Ports from "@cairngate/ports";
import * as randoms from "./seeded_random.ts";
import type * as fleets from "./test_fleet.ts";

/** Share of the changes in which an entry comes, 0 to 1: one in every other round. */
const COMES_SHARE = 0.5;
/** Share of the changes in which one goes, 0 to 1: fewer, so that some stay. */
const GOES_SHARE = 0.4;
/** Share of the entries that stay to the end of the play and beyond. */
const STAYS_SHARE = 0.2;
/** Most at once: fewer than the four endpoints of a play. */
const MOST = 3;

/** Makes of an endpoint's entry one that names no life. */
type Forge = (own: Ports.EndpointListing) => Ports.EndpointListing;

const FORGES: readonly Forge[] = [
  // Looks usable, and names the endpoint's address.
  (own) => own,
  (own) => ({ ...own, service: "nobody-names-it", accelerators: 0 }),
  (own) => ({ ...own, service: "nobody-names-it" }),
  // Nobody listens there.
  (own) => ({ ...own, address: "10.9.9.9:80" }),
];

/** The other writer of one play. */
export class ForeignEntries {
  readonly #fleet: fleets.TestFleet;
  readonly #random: randoms.SeededRandom;
  readonly #listed: { readonly id: string; readonly stays: boolean }[] = [];
  #written = 0;

  constructor(fleet: fleets.TestFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new randoms.SeededRandom(seed);
  }

  /** An entry comes, goes, or both. */
  change(): void {
    if (this.#random.next() < GOES_SHARE) this.#removeOne();
    if (this.#random.next() < COMES_SHARE) this.#add();
  }

  /** All go that do not stay. */
  endAll(): void {
    for (const { id, stays } of this.#listed) {
      if (!stays) this.#fleet.unlist(id);
    }
  }

  #removeOne(): void {
    const first = this.#listed.findIndex(({ stays }) => !stays);
    if (first < 0) return;
    const [{ id }] = this.#listed.splice(first, 1);
    this.#fleet.unlist(id);
  }

  #add(): void {
    const lives = this.#fleet.workers.listLives();
    if (lives.length === 0 || this.#listed.length >= MOST) return;
    const own = this.#fleet.entryOf(this.#random.choose(lives));
    const forge = this.#random.choose(FORGES);
    const stays = this.#random.next() < STAYS_SHARE;
    if (own === null) return;
    const id = `foreign-${this.#written++}`;
    this.#fleet.writeEntry({ ...forge(own), id });
    this.#listed.push({ id, stays });
  }
}
