/**
 * Follows rows for ever: reads all, partition by partition, then waits for
 * changes; reads all again when the history is lost. A partition that can not be
 * read holds up no other.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** What a follower needs. */
export interface RowFollowerOptions<T> {
  readonly feed: Ports.RowFeed<T>;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  /** Told of every change; a snapshot also tells what has gone. */
  readonly onChange: (entries: readonly Ports.FeedEntry<T>[]) => void;
  /** Told after each successful look, also where nothing changed. */
  readonly onHeard?: () => void;
  /** Told after each look that failed. */
  readonly onFailed?: () => void;
  /** Whether a partition may be read now; left out: always. */
  readonly mayRead?: (partition: string) => boolean;
  /**
   * Ends when the store is back after an outage. With it the looks become rare
   * while they fail; left out: they have to find out.
   */
  readonly awaitBack?: () => Effect.Effect<void>;
  /** Longest wait of one look. */
  readonly waitMs: number;
}

const SNAPSHOT_LIMIT_MS = 1500;
/** A partition that failed before holds up the changes of the others. */
const SNAPSHOT_AGAIN_LIMIT_MS = 400;
const ANSWER_SLACK_MS = 500;
const FIRST_BACKOFF_MS = 50;
const LONGEST_BACKOFF_MS = 250;
/** Longest pause where somebody else notices the end of an outage, in ms. */
const LONGEST_AWAITED_MS = 1000;
/** Longest wait of one look while some partition is still to be read. */
const UNREAD_WAIT_MS = 200;

/** Keeps the keys that it has told of, to notice what has gone. */
export class RowFollower<T> {
  readonly #options: RowFollowerOptions<T>;
  readonly #known = new Set<string>();
  /** Keys found since the reading of all partitions began. */
  readonly #present = new Set<string>();
  readonly #unread: Set<string>;
  #position: number | null = null;
  #heardAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the last look failed. */
  #hasFailed = false;
  #backoffMs = FIRST_BACKOFF_MS;

  constructor(options: RowFollowerOptions<T>) {
    this.#options = options;
    this.#unread = new Set(options.feed.partitions);
  }

  /** Monotonic time of the last successful look. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** Whether all partitions have been read. */
  get hasSnapshot(): boolean {
    return this.#position !== null && this.#unread.size === 0;
  }

  /** Whether a partition has been read. */
  hasRead(partition: string): boolean {
    return this.#position !== null && !this.#unread.has(partition);
  }

  /** Follows for ever. */
  run(): Effect.Effect<never> {
    return Effect.forever(this.step());
  }

  /** One look: at partitions that are still to be read, or for changes. */
  step(): Effect.Effect<void> {
    const look = Effect.gen({ self: this }, function* () {
      if (yield* this.#readMissing()) return;
      if (this.#position === null) return yield* this.#pause();
      yield* this.#readChanges(this.#position);
    });
    return Effect.catch(look, () => this.#pause());
  }

  /** Reads partitions that are still to be read; tells whether one was. */
  #readMissing(): Effect.Effect<boolean> {
    const { mayRead } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const open = [...this.#unread].filter((p) => mayRead?.(p) ?? true);
      const read = yield* Effect.forEach(
        open,
        (partition) => this.#readAll(partition),
        { concurrency: "unbounded" },
      );
      return read.includes(true);
    });
  }

  #readAll(partition: string): Effect.Effect<boolean> {
    const { feed, clock } = this.#options;
    const limitMs = this.#position === null
      ? SNAPSHOT_LIMIT_MS
      : SNAPSHOT_AGAIN_LIMIT_MS;
    return Effect.gen({ self: this }, function* () {
      const page = feed.snapshot(partition);
      const timed = yield* clock.within(limitMs, page);
      if (timed === null) return false;
      this.#unread.delete(partition);
      const { entries, position } = timed.value;
      // What changed between the reads is told again from the oldest on.
      this.#take(entries, Math.min(this.#position ?? position, position));
      this.#tellGone();
      return true;
    }).pipe(Effect.catch(() => Effect.succeed(false)));
  }

  #readChanges(position: number): Effect.Effect<void, Ports.StoreError> {
    const { feed, clock } = this.#options;
    const waitMs = this.#waitMs();
    return Effect.gen({ self: this }, function* () {
      const limitMs = waitMs + ANSWER_SLACK_MS;
      const timed = yield* clock.within(
        limitMs,
        feed.changes(position, waitMs),
      );
      if (timed === null) return yield* this.#pause();
      this.#take(timed.value.entries, timed.value.position);
    }).pipe(
      Effect.catchTag(
        "HistoryLostError",
        () => Effect.sync(() => this.#beginAgain()),
      ),
    );
  }

  /** After a failure a look asks for an answer at once: is the store back? */
  #waitMs(): number {
    if (this.#hasFailed) return 0;
    return this.#unread.size === 0 ? this.#options.waitMs : UNREAD_WAIT_MS;
  }

  #beginAgain(): void {
    this.#position = null;
    this.#present.clear();
    for (const partition of this.#options.feed.partitions) {
      this.#unread.add(partition);
    }
  }

  #take(entries: readonly Ports.FeedEntry<T>[], position: number): void {
    for (const { key, value } of entries) {
      const change = value === null ? "delete" : "add";
      this.#known[change](key);
      this.#present[change](key);
    }
    this.#position = position;
    this.#hasFailed = false;
    this.#backoffMs = FIRST_BACKOFF_MS;
    if (entries.length > 0) this.#options.onChange(entries);
    this.#heardAtMs = this.#options.clock.monotonicMs();
    this.#options.onHeard?.();
  }

  /** Once all partitions are read: what is known and was not found is gone. */
  #tellGone(): void {
    if (this.#unread.size > 0) return;
    const gone = [...this.#known].filter((key) => !this.#present.has(key));
    for (const key of gone) this.#known.delete(key);
    if (gone.length === 0) return;
    this.#options.onChange(gone.map((key) => ({ key, value: null })));
  }

  #pause(): Effect.Effect<void> {
    const { clock, random, awaitBack, onFailed } = this.#options;
    this.#hasFailed = true;
    onFailed?.();
    const waitMs = random.jitter(this.#backoffMs);
    const longestMs = awaitBack === undefined
      ? LONGEST_BACKOFF_MS
      : LONGEST_AWAITED_MS;
    this.#backoffMs = Math.min(this.#backoffMs * 2, longestMs);
    if (awaitBack === undefined) return clock.sleep(waitMs);
    return Effect.raceFirst(clock.sleep(waitMs), awaitBack());
  }
}
