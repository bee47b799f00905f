/** Accepted listings of endpoints, and the addresses that they name. */
import type * as Ports from "@cairngate/ports";
import * as addresses from "./address_index.ts";

/** Accepted listings by endpoint. */
export class AcceptedListings {
  readonly #clock: Ports.Clock;
  readonly #listings = new Map<string, Ports.EndpointListing>();
  /** Endpoint id by row key: the change that removes a row carries only its key. */
  readonly #idOfRow = new Map<string, string>();
  readonly #addresses = new addresses.AddressIndex();
  /** Monotonic time, in ms, at which an endpoint with a session became unlisted. */
  readonly #unlistedAtMs = new Map<string, number>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** All accepted listings. */
  get all(): Iterable<Ports.EndpointListing> {
    return this.#listings.values();
  }

  /** The listing of an endpoint; undefined where it is not listed. */
  get(id: string): Ports.EndpointListing | undefined {
    return this.#listings.get(id);
  }

  /** Time for which an endpoint with a session has been unlisted, in ms. */
  unlistedForMs(id: string): number {
    const nowMs = this.#clock.monotonicMs();
    return nowMs - (this.#unlistedAtMs.get(id) ?? nowMs);
  }

  /** Other endpoints that claim the same address. */
  othersAt({ id, address }: Ports.EndpointRef): readonly string[] {
    return this.#addresses.othersAt(address, id);
  }

  /**
   * Records the endpoint that a row is about, whether or not its listing is accepted.
   */
  noteRow(key: string, id: string): void {
    this.#idOfRow.set(key, id);
  }

  /** Removes a row and returns its endpoint; undefined where the row is unknown. */
  removeRow(key: string): string | undefined {
    const id = this.#idOfRow.get(key);
    this.#idOfRow.delete(key);
    return id;
  }

  /** Adds an accepted listing. */
  set(listing: Ports.EndpointListing): void {
    const { id, address } = listing;
    this.#listings.set(id, listing);
    this.#addresses.add(id, address);
    this.#unlistedAtMs.delete(id);
  }

  /** Drops the former address if the accepted listing names another one. */
  noteAddressChange({ id, address }: Ports.EndpointListing): void {
    const former = this.#listings.get(id)?.address ?? address;
    if (former !== address) this.#addresses.remove(id, former);
  }

  /**
   * Removes the listing of an endpoint.
   *
   * @param sessionAddress address of the session with it, which stays indexed until the
   * session closes; null where there is no session
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

  /** Records the recorded address of an endpoint that is not listed. */
  noteRecorded({ id, address }: Ports.EndpointRef): void {
    this.#addresses.add(id, address);
    this.#unlistedAtMs.set(id, this.#clock.monotonicMs());
  }

  /** Drops the session's address, unless the endpoint is still listed. */
  noteSessionClosed({ id, address }: Ports.EndpointRef): void {
    this.#unlistedAtMs.delete(id);
    if (!this.#listings.has(id)) this.#addresses.remove(id, address);
  }
}
