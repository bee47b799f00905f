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
export interface DoubtedListingsOptions {
  readonly options: directoryOptions.DirectoryOptions;
  readonly book: listingBooks.ListingBook;
  readonly sessions: endpointSessions.EndpointSessions;
  /** Told of an entry that is not in doubt any more. */
  readonly onBelieved: (listing: Ports.EndpointListing) => void;
}

/** A look at an address that an entry names may take this long, in ms, as any order. */
const LOOK_LIMIT_MS = 450;

/** Entries in doubt, by endpoint. */
export class DoubtedListings {
  readonly #parts: DoubtedListingsOptions;
  readonly #listings = new Map<string, Ports.EndpointListing>();

  constructor(parts: DoubtedListingsOptions) {
    this.#parts = parts;
  }

  /** Whether an entry is of another life than the one that answers and is listed. */
  isDoubtful({ id, bornMs }: Ports.EndpointListing): boolean {
    const { sessions, book } = this.#parts;
    const session = sessions.get(id);
    if (session === undefined || session.isOver || !session.wasHeard) {
      return false;
    }
    return bornMs !== session.bornMs && book.get(id)?.bornMs === session.bornMs;
  }

  /** Takes in an entry that is in doubt, and asks who lives. */
  add(listing: Ports.EndpointListing): void {
    this.#listings.set(listing.id, listing);
    this.#askWhoLives(listing);
  }

  /** Another entry took effect, or none is there any more. */
  forget(id: string): void {
    this.#listings.delete(id);
  }

  /** Another life answers under this id: its own entry takes effect, if it came. */
  lifeBegan(id: string): void {
    const session = this.#parts.sessions.get(id);
    if (this.#listings.get(id)?.bornMs === session?.bornMs) this.#believe(id);
  }

  #believe(id: string): void {
    const listing = this.#listings.get(id);
    this.#listings.delete(id);
    if (listing !== undefined) this.#parts.onBelieved(listing);
  }

  /** An entry is a reason to ask, where it says that the endpoint is and was. */
  #askWhoLives(listing: Ports.EndpointListing): void {
    const session = this.#parts.sessions.get(listing.id);
    if (session === undefined) return;
    Effect.runFork(session.ask());
    const hasMoved = session.ref.address !== listing.address;
    if (hasMoved) Effect.runFork(this.#lookAt(listing));
  }

  /** Moves to where a later life says that it is, if that life answers there. */
  #lookAt(listing: Ports.EndpointListing): Effect.Effect<void> {
    const { ports: { workers, clock }, term } = this.#parts.options;
    const look = workers.renew(listing, {
      fencingToken: term.token,
      leaseUntilMs: null,
      recordedEnds: 0,
      recordedBy: null,
      waitMs: 0,
    });
    return clock.within(LOOK_LIMIT_MS, look).pipe(
      Effect.map((timed) => {
        if (timed === null || timed.value.bornMs !== listing.bornMs) return;
        this.#move(listing.id);
      }),
      // Nobody with this birth answers there: the entry stays in doubt.
      Effect.ignore,
    );
  }

  #move(id: string): void {
    const { sessions } = this.#parts;
    const session = sessions.get(id);
    if (session === undefined) return this.#believe(id);
    sessions.drop(session);
    this.#believe(id);
    sessions.reopen(session);
  }
}
