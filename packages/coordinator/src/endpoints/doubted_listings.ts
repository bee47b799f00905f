/**
 * Entries of other lives than the ones that answer under their ids: the newer life
 * or a former one, which only the endpoint itself can tell.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as directoryOptions from "./directory_options.ts";
import type * as endpointSessions from "./endpoint_sessions.ts";
import type * as listingBooks from "./listing_book.ts";

/** What they work with. */
export interface ConflictingListingsOptions {
  readonly options: directoryOptions.DirectoryOptions;
  readonly listings: listingBooks.AcceptedListings;
  readonly sessions: endpointSessions.EndpointSessions;
  /** Told of an entry that is not in doubt any more. */
  readonly onAccepted: (listing: Ports.EndpointListing) => void;
}

/** A look at an address that an entry names may take this long, in ms, as any order. */
const PROBE_TIMEOUT_MS = 450;

/** Entries in doubt, by endpoint. */
export class ConflictingListings {
  readonly #parts: ConflictingListingsOptions;
  readonly #listings = new Map<string, Ports.EndpointListing>();

  constructor(parts: ConflictingListingsOptions) {
    this.#parts = parts;
  }

  /** Whether an entry is of another life than the one that answers and is listed. */
  isConflicting({ id, bornMs }: Ports.EndpointListing): boolean {
    const { sessions, listings } = this.#parts;
    const session = sessions.get(id);
    if (session === undefined || session.isOver || !session.wasHeard) {
      return false;
    }
    return bornMs !== session.bornMs &&
      listings.get(id)?.bornMs === session.bornMs;
  }

  /** Takes in an entry that is in doubt, and asks who lives. */
  add(listing: Ports.EndpointListing): void {
    this.#listings.set(listing.id, listing);
    this.#verify(listing);
  }

  /** Another entry took effect, or none is there any more. */
  remove(id: string): void {
    this.#listings.delete(id);
  }

  /** Another life answers under this id: its own entry takes effect, if it came. */
  noteNewIncarnation(id: string): void {
    const session = this.#parts.sessions.get(id);
    if (this.#listings.get(id)?.bornMs === session?.bornMs) this.#accept(id);
  }

  #accept(id: string): void {
    const listing = this.#listings.get(id);
    this.#listings.delete(id);
    if (listing !== undefined) this.#parts.onAccepted(listing);
  }

  /** An entry is a reason to ask, where it says that the endpoint is and was. */
  #verify(listing: Ports.EndpointListing): void {
    const session = this.#parts.sessions.get(listing.id);
    if (session === undefined) return;
    Effect.runFork(session.ask());
    const hasMoved = session.ref.address !== listing.address;
    if (hasMoved) Effect.runFork(this.#probe(listing));
  }

  /** Moves to where a later life says that it is, if that life answers there. */
  #probe(listing: Ports.EndpointListing): Effect.Effect<void> {
    const { ports: { workers, clock }, term } = this.#parts.options;
    const renewal = workers.renew(listing, {
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
      // Nobody with this birth answers there: the entry stays in doubt.
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
