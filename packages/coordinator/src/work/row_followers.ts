/** Follows the listings of endpoints and the intake rows of workflows. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import * as intake from "./intake.ts";
import type * as recoveries from "./recovery.ts";

/** Dependencies of `RowFollowers`. */
export interface RowFollowersOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly recovery: recoveries.Recovery;
  /** Called with changed listings. */
  readonly onListings: (
    entries: readonly Ports.FeedEntry<Ports.EndpointListing>[],
  ) => void;
  /** Called with accepted workflows and cancel requests. */
  readonly onIntake: (events: intake.IntakeEvents) => void;
  /** Called once all partitions have been read. */
  readonly onAllRead: () => void;
}

/** Wait of one feed request; a broken link is detected soon after it. */
const FEED_WAIT_MS = 1000;
/**
 * A term starts without the newest changes after this time, one answer of a slow
 * store, because the leases of running tasks have to be renewed.
 */
const CATCH_UP_TIMEOUT_MS = 400;
/**
 * Endpoints rewrite their listings with each heartbeat: 245 of them caused 95 feed
 * requests a second, a quarter of all store calls under light load. Changes of a
 * listing (draining, gone) may be seen a tenth of a second later.
 */
const LISTINGS_BATCH_MS = 100;

/** The row followers of one term. */
export class RowFollowers {
  readonly #options: RowFollowersOptions;
  readonly #listings: TableClient.RowFollower<Ports.EndpointListing>;
  readonly #intake: TableClient.RowFollower<unknown>;

  constructor(options: RowFollowersOptions) {
    this.#options = options;
    this.#listings = new TableClient.RowFollower({
      ...this.#feedOptions(),
      feed: options.ports.endpointFeed,
      coalesceMs: LISTINGS_BATCH_MS,
      onChange: options.onListings,
    });
    const isOpen = (partition: string) => options.recovery.isOpen(partition);
    this.#intake = new TableClient.RowFollower<unknown>({
      ...this.#feedOptions(),
      feed: options.ports.intakeFeed,
      canRead: isOpen,
      onChange: (entries) => {
        const events = intake.parseIntake(entries, isOpen);
        this.#logInvalid(events.invalidKeys);
        options.onIntake(events);
      },
      onPolled: () => this.#checkAllRead(),
    });
  }

  /** Ends once all listings have been read. */
  readListings(): Effect.Effect<void> {
    const follower = this.#listings;
    return Effect.gen(function* () {
      while (!follower.hasSnapshot) yield* follower.step();
    });
  }

  /** Ends once the open partitions are read, and caught up within a time limit. */
  readIntake(): Effect.Effect<void> {
    const { clock } = this.#options.ports;
    return Effect.gen({ self: this }, function* () {
      while (!this.#hasReadOpen) yield* this.#intake.step();
      yield* clock.within(CATCH_UP_TIMEOUT_MS, this.#catchUp());
    });
  }

  /** Whether all intake rows are known, also after the history was lost. */
  get isIntakeCaughtUp(): boolean {
    return this.#intake.isCaughtUp;
  }

  /** Effects that follow both feeds until interrupted. */
  run(): readonly Effect.Effect<void>[] {
    return [this.#listings.run(), this.#intake.run()];
  }

  /** Reads the changes since the pages; ends at once while partitions are unread. */
  #catchUp(): Effect.Effect<void> {
    const follower = this.#intake;
    return Effect.gen(function* () {
      while (follower.hasSnapshot && !follower.isCaughtUp) {
        yield* follower.step();
      }
    });
  }

  /** Whether every open partition has been read. */
  get #hasReadOpen(): boolean {
    const { recovery } = this.#options;
    return TableClient.Keys.PARTITIONS.every((partition) =>
      !recovery.isOpen(partition) || this.#intake.hasRead(partition)
    );
  }

  #logInvalid(keys: readonly string[]): void {
    const { log } = this.#options.ports;
    for (const key of keys) {
      log.error(
        `Row ${JSON.stringify(key)} is skipped: another writer has put ` +
          `something there that is neither a workflow nor a cancel.`,
      );
    }
  }

  #checkAllRead(): void {
    const { recovery, onAllRead } = this.#options;
    if (!recovery.isComplete && this.#intake.isCaughtUp) onAllRead();
  }

  #feedOptions() {
    const { clock, random, store } = this.#options.ports;
    const awaitRecovery = () => store.awaitRecovery();
    return { clock, random, awaitRecovery, waitMs: FEED_WAIT_MS };
  }
}
