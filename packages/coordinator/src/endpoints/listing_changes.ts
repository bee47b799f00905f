/** Takes in the changes of the platform's list; an entry alone proves little. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as sessions from "../sessions/endpoint_session.ts";
import type * as directoryOptions from "./directory_options.ts";
import * as doubteds from "./doubted_listings.ts";
import type * as endpointSessions from "./endpoint_sessions.ts";
import type * as listingBooks from "./listing_book.ts";
import type * as listingTimes from "./listing_times.ts";
import type * as uneven from "./uneven_speeds.ts";
import type * as speeds from "./endpoint_speeds.ts";

/** What the changes have to do with. */
export interface ListingChangesOptions {
  readonly options: directoryOptions.DirectoryOptions;
  readonly book: listingBooks.ListingBook;
  readonly sessions: endpointSessions.EndpointSessions;
  readonly times: listingTimes.ListingTimes;
  readonly speeds: speeds.EndpointSpeeds;
  readonly unevenSpeeds: uneven.UnevenSpeeds;
}

/** Changes of the list. */
export class ListingChanges {
  readonly #parts: ListingChangesOptions;
  readonly #doubted: doubteds.DoubtedListings;

  constructor(parts: ListingChangesOptions) {
    this.#parts = parts;
    const { options, book, sessions } = parts;
    this.#doubted = new doubteds.DoubtedListings({
      options,
      book,
      sessions,
      onBelieved: (listing) => this.#believe(listing),
    });
  }

  /** Takes in changes. */
  update(entries: readonly Ports.FeedEntry<Ports.EndpointListing>[]): void {
    for (const { key, value } of entries) {
      if (value === null) {
        this.#unlist(key);
        continue;
      }
      this.#parts.book.noteRow(key, value.id);
      this.#list(value);
    }
  }

  /** Another life answers under this id. */
  lifeBegan(id: string): void {
    this.#parts.speeds.forget(id);
    this.#parts.unevenSpeeds.forget(id);
    this.#doubted.lifeBegan(id);
  }

  #list(listing: Ports.EndpointListing): void {
    const { sessions } = this.#parts;
    const session = sessions.get(listing.id);
    if (session?.isOver === true && session.isOfOtherLife(listing.bornMs)) {
      sessions.drop(session);
    }
    if (this.#doubted.isDoubtful(listing)) this.#doubted.add(listing);
    else this.#believe(listing);
  }

  #believe(listing: Ports.EndpointListing): void {
    const { book, sessions, times } = this.#parts;
    const { id } = listing;
    const moved = this.#forgetOtherAddress(listing);
    book.set(listing);
    this.#doubted.forget(id);
    times.note(listing);
    sessions.get(id)?.noteListed(listing);
    if (moved !== null) sessions.reopen(moved);
    this.#askOthers(listing);
  }

  /**
   * A life keeps its address: an entry that names another one was wrong, or is.
   * Returns the session at an address where it never answered.
   */
  #forgetOtherAddress(
    listing: Ports.EndpointListing,
  ): sessions.EndpointSession | null {
    const { book, sessions } = this.#parts;
    book.noteMoved(listing);
    const session = sessions.get(listing.id);
    if (session === undefined || session.ref.address === listing.address) {
      return null;
    }
    if (session.wasHeard && !session.isOver) return null;
    sessions.drop(session);
    return session;
  }

  /**
   * One address has one life. Which one it is, only the address can tell: an entry
   * outlasts its endpoint by seconds, and another writer may name any address.
   */
  #askOthers(listing: Ports.EndpointListing): void {
    const { book, sessions } = this.#parts;
    for (const other of book.othersAt(listing)) {
      const session = sessions.get(other);
      if (session !== undefined) Effect.runFork(session.ask());
    }
  }

  #unlist(rowKey: string): void {
    const { book, sessions, times, speeds, unevenSpeeds } = this.#parts;
    const id = book.removeRow(rowKey);
    if (id === undefined) return;
    const session = sessions.get(id);
    book.remove(id, session?.ref.address ?? null);
    this.#doubted.forget(id);
    session?.noteUnlisted();
    times.forget(id);
    speeds.forget(id);
    unevenSpeeds.forget(id);
  }
}
