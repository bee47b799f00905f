/** Reads one partition page by page, concurrently with other work of the caller. */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as pagedReads from "./paged_read.ts";

/** Dependencies of the read and the partition to read. */
export interface PartitionReadOptions<T> {
  readonly feed: Ports.RowFeed<T>;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly partition: string;
}

/** Pause after a failed page before jitter, in ms; the store may be unavailable. */
const RETRY_DELAY_MS = 100;

/** One read. Pages that have arrived are kept when a later one fails. */
export class PartitionRead<T> {
  readonly #options: PartitionReadOptions<T>;
  readonly #pages: pagedReads.PagedRead<
    Ports.SnapshotPage<T>,
    Ports.StoreError
  >;
  /** Keys that changed since the read began; the rows of its pages may be older. */
  readonly #changed = new Set<string>();
  #fiber: Fiber.Fiber<void> | null = null;
  #isReading = false;
  #isFailing = false;
  #isFirstPositionTaken = false;
  #newestPosition = 0;
  #result: readonly Ports.FeedEntry<T>[] | null = null;
  /** Completed when all pages have arrived or a page has failed. */
  #settled = Deferred.makeUnsafe<void>();

  constructor(options: PartitionReadOptions<T>) {
    this.#options = options;
    const { clock, feed, partition } = options;
    this.#pages = new pagedReads.PagedRead({
      clock,
      read: (request) =>
        Effect.tap(
          feed.page(partition, request),
          ({ position }) =>
            Effect.sync(() => {
              this.#newestPosition = Math.max(this.#newestPosition, position);
            }),
        ),
    });
  }

  /** The partition being read. */
  get partition(): string {
    return this.#options.partition;
  }

  /** Rows that have not changed during the read; null until it is complete. */
  get result(): readonly Ports.FeedEntry<T>[] | null {
    return this.#result?.filter(({ key }) => !this.#changed.has(key)) ?? null;
  }

  /** Newest position of all pages. */
  get newestPosition(): number {
    return this.#newestPosition;
  }

  /**
   * Returns the position of the first page once; null before it has arrived and on
   * every later call. Changes have to be followed from this position while the
   * other pages are read.
   */
  takeFirstPosition(): number | null {
    const position = this.#pages.first?.position ?? null;
    if (position === null || this.#isFirstPositionTaken) return null;
    this.#isFirstPositionTaken = true;
    return position;
  }

  /** Excludes a row from the result after the feed has reported a change of it. */
  markChanged(key: string): void {
    this.#changed.add(key);
  }

  /** Whether the last page failed and has not been requested again yet. */
  get isFailing(): boolean {
    return this.#isFailing;
  }

  /** Completes when all pages have arrived or a page has failed. */
  awaitSettled(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#settled));
  }

  /** Continues the read in a child fiber unless one is running. */
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

  /** Stops the read. */
  cancel(): Effect.Effect<void> {
    const fiber = this.#fiber;
    return fiber === null ? Effect.void : Fiber.interrupt(fiber);
  }

  #readPages(): Effect.Effect<void> {
    const { clock, random } = this.#options;
    return Effect.gen({ self: this }, function* () {
      while (!(yield* this.#pages.readPage()));
      this.#result = this.#pages.items;
      Deferred.doneUnsafe(this.#settled, Effect.void);
    }).pipe(
      Effect.catch(() => {
        this.#isFailing = true;
        Deferred.doneUnsafe(this.#settled, Effect.void);
        // Delays the next attempt for this partition only; the follower continues.
        return clock.sleep(random.jitter(RETRY_DELAY_MS));
      }),
    );
  }
}
