/**
 * Listings whose birth time differs from the incarnation that answers under the same
 * id. Such a listing belongs to a newer incarnation or to a former one; only an answer
 * from the endpoint shows which.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as directoryOptions from "./directory_options.ts";
import type * as endpointSessions from "./endpoint_sessions.ts";
import type * as acceptedListings from "./accepted_listings.ts";

/** Collaborators of the conflicting listings. */
export interface ConflictingListingsOptions {
  readonly options: directoryOptions.DirectoryOptions;
  readonly listings: acceptedListings.AcceptedListings;
  readonly sessions: endpointSessions.EndpointSessions;
  /** Called with a listing that no longer conflicts. */
  readonly onAccepted: (listing: Ports.EndpointListing) => void;
}

/** Timeout of a probe of a listed address, in ms; the same as that of other orders. */
const PROBE_TIMEOUT_MS = 450;

/** Conflicting listings by endpoint. */
export class ConflictingListings {
  readonly #parts: ConflictingListingsOptions;
  readonly #listings = new Map<string, Ports.EndpointListing>();

  constructor(parts: ConflictingListingsOptions) {
    this.#parts = parts;
  }

  /**
   * Whether a listing names another incarnation than the one that both answers and is
   * already listed.
   */
  isConflicting({ id, bornMs }: Ports.EndpointListing): boolean {
    const { sessions, listings } = this.#parts;
    const session = sessions.get(id);
    if (session === undefined || session.isOver || !session.hasAnswered) {
      return false;
    }
    return bornMs !== session.bornMs &&
      listings.get(id)?.bornMs === session.bornMs;
  }

  /** Adds a conflicting listing and asks the endpoint which incarnation is running. */
  add(listing: Ports.EndpointListing): void {
    this.#listings.set(listing.id, listing);
    this.#verify(listing);
  }

  /**
   * Removes the listing of an endpoint that was unlisted or has another listing
   * accepted.
   */
  remove(id: string): void {
    this.#listings.delete(id);
  }

  /** Accepts the pending listing if it belongs to the incarnation that answers now. */
  noteNewIncarnation(id: string): void {
    const session = this.#parts.sessions.get(id);
    if (this.#listings.get(id)?.bornMs === session?.bornMs) this.#accept(id);
  }

  #accept(id: string): void {
    const listing = this.#listings.get(id);
    this.#listings.delete(id);
    if (listing !== undefined) this.#parts.onAccepted(listing);
  }

  /**
   * Polls the endpoint at its present address and probes the listed one if it differs.
   */
  #verify(listing: Ports.EndpointListing): void {
    const session = this.#parts.sessions.get(listing.id);
    if (session === undefined) return;
    Effect.runFork(session.pollNow());
    const hasMoved = session.ref.address !== listing.address;
    if (hasMoved) Effect.runFork(this.#probe(listing));
  }

  /**
   * Moves the session to the listed address if the listed incarnation answers there.
   */
  #probe(listing: Ports.EndpointListing): Effect.Effect<void> {
    const { ports: { endpoints, clock }, term } = this.#parts.options;
    const renewal = endpoints.renew(listing, {
      fencingToken: term.token,
      leaseUntilMs: null,
      recordedEnds: 0,
      recordedBy: null,
      waitMs: 0,
    });
    return clock.within(PROBE_TIMEOUT_MS, renewal).pipe(
      Effect.map((timed) => {
        if (timed === null || timed.value.bornMs !== listing.bornMs) return;
        this.#moveSession(listing.id);
      }),
      // No endpoint with this birth time answers there: the listing stays in conflict.
      Effect.ignore,
    );
  }

  #moveSession(id: string): void {
    const { sessions } = this.#parts;
    const session = sessions.get(id);
    if (session === undefined) return this.#accept(id);
    sessions.drop(session);
    this.#accept(id);
    sessions.reopen(session);
  }
}
