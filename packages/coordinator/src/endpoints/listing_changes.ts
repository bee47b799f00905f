/**
 * Applies changes of the platform's list. A listing alone is weak evidence: it may be
 * out of date or written by another party.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as sessions from "../sessions/endpoint_session.ts";
import type * as directoryOptions from "./directory_options.ts";
import * as conflicts from "./conflicting_listings.ts";
import type * as endpointSessions from "./endpoint_sessions.ts";
import type * as acceptedListings from "./accepted_listings.ts";
import type * as listingTimes from "./listing_times.ts";
import type * as uneven from "./uneven_speeds.ts";
import type * as speeds from "./endpoint_speeds.ts";

/** Collaborators of the listing changes. */
export interface ListingChangesOptions {
  readonly options: directoryOptions.DirectoryOptions;
  readonly listings: acceptedListings.AcceptedListings;
  readonly sessions: endpointSessions.EndpointSessions;
  readonly times: listingTimes.ListingTimes;
  readonly speeds: speeds.EndpointSpeeds;
  readonly unevenSpeeds: uneven.UnevenSpeeds;
}

/** Applies listing changes to the sessions and to what is known of endpoints. */
export class ListingChanges {
  readonly #parts: ListingChangesOptions;
  readonly #conflicts: conflicts.ConflictingListings;

  constructor(parts: ListingChangesOptions) {
    this.#parts = parts;
    const { options, listings, sessions } = parts;
    this.#conflicts = new conflicts.ConflictingListings({
      options,
      listings,
      sessions,
      onAccepted: (listing) => this.#accept(listing),
    });
  }

  /** Applies changes of the platform's list. */
  update(entries: readonly Ports.FeedEntry<Ports.EndpointListing>[]): void {
    for (const { key, value } of entries) {
      if (value === null) {
        this.#unlist(key);
        continue;
      }
      this.#parts.listings.noteRow(key, value.id);
      this.#list(value);
    }
  }

  /**
   * Handles another incarnation answering under this id: drops its learned speeds and
   * accepts its pending listing, if any.
   */
  noteNewIncarnation(id: string): void {
    this.#parts.speeds.remove(id);
    this.#parts.unevenSpeeds.remove(id);
    this.#conflicts.noteNewIncarnation(id);
  }

  #list(listing: Ports.EndpointListing): void {
    const { sessions } = this.#parts;
    const session = sessions.get(listing.id);
    if (
      session?.isOver === true && session.isOfOtherIncarnation(listing.bornMs)
    ) {
      sessions.drop(session);
    }
    if (this.#conflicts.isConflicting(listing)) this.#conflicts.add(listing);
    else this.#accept(listing);
  }

  #accept(listing: Ports.EndpointListing): void {
    const { listings, sessions, times } = this.#parts;
    const { id } = listing;
    const moved = this.#replaceAddress(listing);
    listings.set(listing);
    this.#conflicts.remove(id);
    times.note(listing);
    sessions.get(id)?.noteListed(listing);
    if (moved !== null) sessions.reopen(moved);
    this.#verifyOthers(listing);
  }

  /**
   * Closes a session whose endpoint never answered, or has ended, at an address other
   * than the listed one. An incarnation never changes its address, so one of the two
   * addresses is wrong. Returns the closed session.
   */
  #replaceAddress(
    listing: Ports.EndpointListing,
  ): sessions.EndpointSession | null {
    const { listings, sessions } = this.#parts;
    listings.noteAddressChange(listing);
    const session = sessions.get(listing.id);
    if (session === undefined || session.ref.address === listing.address) {
      return null;
    }
    if (session.hasAnswered && !session.isOver) return null;
    sessions.drop(session);
    return session;
  }

  /**
   * Polls the other endpoints at a listed address. One address has one incarnation, and
   * only an answer from it shows which: a listing outlasts its endpoint by seconds, and
   * other writers may list any address.
   */
  #verifyOthers(listing: Ports.EndpointListing): void {
    const { listings, sessions } = this.#parts;
    for (const other of listings.othersAt(listing)) {
      const session = sessions.get(other);
      if (session !== undefined) Effect.runFork(session.pollNow());
    }
  }

  #unlist(rowKey: string): void {
    const { listings, sessions, times, speeds, unevenSpeeds } = this.#parts;
    const id = listings.removeRow(rowKey);
    if (id === undefined) return;
    const session = sessions.get(id);
    listings.remove(id, session?.ref.address ?? null);
    this.#conflicts.remove(id);
    session?.noteUnlisted();
    times.remove(id);
    speeds.remove(id);
    unevenSpeeds.remove(id);
  }
}
