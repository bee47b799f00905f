/** The read of one partition, page by page, beside other work of its reader. */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as pagedReads from "./paged_read.ts";

/** What the read of a partition needs. */
export interface PartitionReadOptions<T> {
  readonly feed: Ports.RowFeed<T>;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly partition: string;
}

/** Usual pause after a page that failed, in ms; a store may be away. */
const RETRY_DELAY_MS = 100;

/** One read. Its pages stay while their successors fail. */
export class PartitionRead<T> {
  readonly #options: PartitionReadOptions<T>;
  readonly #pages: pagedReads.PagedRead<
    Ports.SnapshotPage<T>,
    Ports.StoreError
  >;
  /** Keys that changed since the read began: its rows may be older. */
  readonly #changed = new Set<string>();
  #fiber: Fiber.Fiber<void> | null = null;
  #isReading = false;
  #isFailing = false;
  #isFirstPositionTaken = false;
  #newestPosition = 0;
  #result: readonly Ports.FeedEntry<T>[] | null = null;
  /** Done when all pages have come, or a page has failed. */
  #settled = Deferred.makeUnsafe<void>();

  constructor(options: PartitionReadOptions<T>) {
    this.#options = options;
    const { clock, feed, partition } = options;
    this.#pages = new pagedReads.PagedRead({
      clock,
      read: (ask) =>
        Effect.tap(
          feed.page(partition, ask),
          ({ position }) =>
            Effect.sync(() => {
              this.#newestPosition = Math.max(this.#newestPosition, position);
            }),
        ),
    });
  }

  /** The partition that is read. */
  get partition(): string {
    return this.#options.partition;
  }

  /** All rows that have not changed meanwhile; null before the end. */
  get result(): readonly Ports.FeedEntry<T>[] | null {
    return this.#result?.filter(({ key }) => !this.#changed.has(key)) ?? null;
  }

  /** Newest position that a page told. */
  get newestPosition(): number {
    return this.#newestPosition;
  }

  /**
   * Position of the first page, once: changes have to be followed from there on
   * while the other pages come. Null before it has come, and ever after.
   */
  takeFirstPosition(): number | null {
    const position = this.#pages.first?.position ?? null;
    if (position === null || this.#isFirstPositionTaken) return null;
    this.#isFirstPositionTaken = true;
    return position;
  }

  /** A row has changed, as the feed tells. */
  markChanged(key: string): void {
    this.#changed.add(key);
  }

  /** Whether the last page failed and is not asked for again yet. */
  get isFailing(): boolean {
    return this.#isFailing;
  }

  /** Ends when all pages have come, or a page has failed. */
  awaitSettled(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#settled));
  }

  /** Reads on in a fiber of its own, unless one does so already. */
  resume(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#isReading || this.#result !== null) return Effect.void;
      this.#isReading = true;
      this.#isFailing = false;
      this.#settled = Deferred.makeUnsafe<void>();
      const finished = Effect.sync(() => {
        this.#isReading = false;
      });
      const read = Effect.ensuring(this.#readPages(), finished);
      return Effect.map(Effect.forkChild(read), (fiber) => {
        this.#fiber = fiber;
      });
    });
  }

  /** Gives the read up: its pages are of no use any more. */
  cancel(): Effect.Effect<void> {
    const fiber = this.#fiber;
    return fiber === null ? Effect.void : Fiber.interrupt(fiber);
  }

  #readPages(): Effect.Effect<void> {
    const { clock, random } = this.#options;
    return Effect.gen({ self: this }, function* () {
      while (!(yield* this.#pages.step()));
      this.#result = this.#pages.items;
      Deferred.doneUnsafe(this.#settled, Effect.void);
    }).pipe(
      Effect.catch(() => {
        this.#isFailing = true;
        Deferred.doneUnsafe(this.#settled, Effect.void);
        // The next try of this partition waits; the follower does not.
        return clock.sleep(random.jitter(RETRY_DELAY_MS));
      }),
    );
  }
}
