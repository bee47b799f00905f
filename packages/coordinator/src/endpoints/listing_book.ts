/** Entries of the platform's list that are believed, and the addresses they name. */
import type * as Ports from "@cairngate/ports";
import * as addresses from "./address_book.ts";

/** Listings by endpoint. */
export class AcceptedListings {
  readonly #clock: Ports.Clock;
  readonly #listings = new Map<string, Ports.EndpointListing>();
  /** Endpoint of each row; a removed row shows no more than its key. */
  readonly #idOfRow = new Map<string, string>();
  readonly #addresses = new addresses.AddressIndex();
  /** Our time at which the listing of an endpoint went, while it is away. */
  readonly #unlistedAtMs = new Map<string, number>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** All listings. */
  get all(): Iterable<Ports.EndpointListing> {
    return this.#listings.values();
  }

  /** The listing of an endpoint; undefined where it is not listed. */
  get(id: string): Ports.EndpointListing | undefined {
    return this.#listings.get(id);
  }

  /** For how long an endpoint with a session has not been listed, in ms. */
  unlistedForMs(id: string): number {
    const nowMs = this.#clock.monotonicMs();
    return nowMs - (this.#unlistedAtMs.get(id) ?? nowMs);
  }

  /** Other endpoints that are known at an address. */
  othersAt({ id, address }: Ports.EndpointRef): readonly string[] {
    return this.#addresses.othersAt(address, id);
  }

  /** A row is about an endpoint, whether it is believed or not. */
  noteRow(key: string, id: string): void {
    this.#idOfRow.set(key, id);
  }

  /** A row is gone; returns its endpoint, undefined where it had none. */
  removeRow(key: string): string | undefined {
    const id = this.#idOfRow.get(key);
    this.#idOfRow.delete(key);
    return id;
  }

  /** An entry is believed. */
  set(listing: Ports.EndpointListing): void {
    const { id, address } = listing;
    this.#listings.set(id, listing);
    this.#addresses.add(id, address);
    this.#unlistedAtMs.delete(id);
  }

  /** An entry that is believed names another address than the one before. */
  noteAddressChange({ id, address }: Ports.EndpointListing): void {
    const former = this.#listings.get(id)?.address ?? address;
    if (former !== address) this.#addresses.remove(id, former);
  }

  /**
   * An endpoint is listed no more.
   *
   * @param sessionAddress where the session with it stands; null: there is none. It
   * keeps its own address in the book until it is dropped
   */
  remove(id: string, sessionAddress: string | null): void {
    const listing = this.#listings.get(id);
    this.#listings.delete(id);
    if (listing !== undefined && sessionAddress !== listing.address) {
      this.#addresses.remove(id, listing.address);
    }
    if (sessionAddress !== null) {
      this.#unlistedAtMs.set(id, this.#clock.monotonicMs());
    }
  }

  /** An endpoint that is not listed stands where the records say that it was. */
  noteRecorded({ id, address }: Ports.EndpointRef): void {
    this.#addresses.add(id, address);
    this.#unlistedAtMs.set(id, this.#clock.monotonicMs());
  }

  /** The session with an endpoint is dropped. */
  noteSessionClosed({ id, address }: Ports.EndpointRef): void {
    this.#unlistedAtMs.delete(id);
    if (!this.#listings.has(id)) this.#addresses.remove(id, address);
  }
}
