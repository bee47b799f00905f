/** Follows the rows that a term lives by: listings of endpoints, and the intake. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import * as intake from "./intake.ts";
import type * as recoveries from "./recovery.ts";

/** What the followers work with. */
export interface RowFollowersOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly recovery: recoveries.Recovery;
  /** Told of changes of the listings. */
  readonly onListings: (
    entries: readonly Ports.FeedEntry<Ports.EndpointListing>[],
  ) => void;
  /** Told of workflows that were accepted or cancelled. */
  readonly onIntake: (events: intake.IntakeEvents) => void;
  /** Told once that all partitions have been read. */
  readonly onAllRead: () => void;
}

/** A silent link is noticed soon after this wait. */
const FEED_WAIT_MS = 1000;
/**
 * A term begins its work without the newest changes after this time, in ms: one
 * answer of a slow store; leases have to be renewed.
 */
const CATCH_UP_TIMEOUT_MS = 400;
/**
 * Endpoints write their listings again with each beat: 245 of them woke the feed 95
 * times a second, a quarter of all calls to the store on a quiet day. What a listing
 * tells, that it drains or has gone, may come a tenth of a second later.
 */
const LISTINGS_BATCH_MS = 100;

/** Followers of one term. */
export class RowFollowers {
  readonly #options: RowFollowersOptions;
  readonly #listings: TableClient.RowFollower<Ports.EndpointListing>;
  readonly #intake: TableClient.RowFollower<unknown>;

  constructor(options: RowFollowersOptions) {
    this.#options = options;
    this.#listings = new TableClient.RowFollower({
      ...this.#feedOptions(),
      feed: options.ports.workerFeed,
      gatherMs: LISTINGS_BATCH_MS,
      onChange: options.onListings,
    });
    const isOpen = (partition: string) => options.recovery.isOpen(partition);
    this.#intake = new TableClient.RowFollower<unknown>({
      ...this.#feedOptions(),
      feed: options.ports.intakeFeed,
      mayRead: isOpen,
      onChange: (entries) =>
        options.onIntake(intake.parseIntake(entries, isOpen)),
      onHeard: () => this.#checkAllRead(),
    });
  }

  /** Ends when the listings have been read. */
  readListings(): Effect.Effect<void> {
    const follower = this.#listings;
    return Effect.gen(function* () {
      while (!follower.hasSnapshot) yield* follower.step();
    });
  }

  /** Ends when the open partitions have been read, and mostly what is new in them. */
  readIntake(): Effect.Effect<void> {
    const { clock } = this.#options.ports;
    return Effect.gen({ self: this }, function* () {
      while (!this.#hasReadOpen) yield* this.#intake.step();
      yield* clock.within(CATCH_UP_TIMEOUT_MS, this.#catchUp());
    });
  }

  /** Follows both for ever. */
  run(): readonly Effect.Effect<void>[] {
    return [this.#listings.run(), this.#intake.run()];
  }

  /** Changes since the pages; nothing is waited for where some are unread. */
  #catchUp(): Effect.Effect<void> {
    const follower = this.#intake;
    return Effect.gen(function* () {
      while (follower.hasSnapshot && !follower.isCaughtUp) {
        yield* follower.step();
      }
    });
  }

  /** Whether every partition that is open has been read. */
  get #hasReadOpen(): boolean {
    const { recovery } = this.#options;
    return TableClient.Keys.PARTITIONS.every((partition) =>
      !recovery.isOpen(partition) || this.#intake.hasRead(partition)
    );
  }

  #checkAllRead(): void {
    const { recovery, onAllRead } = this.#options;
    if (!recovery.isComplete && this.#intake.isCaughtUp) onAllRead();
  }

  #feedOptions() {
    const { clock, random, store } = this.#options.ports;
    const awaitBack = () => store.awaitBack();
    return { clock, random, awaitBack, waitMs: FEED_WAIT_MS };
  }
}
