/**
 * Follows rows for ever: reads all partitions, each page by page, and waits for
 * changes; reads all again when the history is lost. Reads go on beside the
 * looks for changes, so that a partition that is slow or away holds up no other.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as partitionReads from "./partition_read.ts";

/** What a follower needs. */
export interface RowFollowerOptions<T> {
  readonly feed: Ports.RowFeed<T>;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  /** Told of every change; a snapshot also tells what has gone. */
  readonly onChange: (entries: readonly Ports.FeedEntry<T>[]) => void;
  /** Told after each successful look, also where nothing changed. */
  readonly onHeard?: () => void;
  /** Told how much longer than it was asked to wait an answer took, in ms. */
  readonly onDelay?: (ms: number) => void;
  /** Told after each look that failed. */
  readonly onFailed?: () => void;
  /** Whether a partition may be read now; left out: always. */
  readonly mayRead?: (partition: string) => boolean;
  /**
   * Ends when the store is back after an outage: a pause ends with it, and a look
   * is made again. With it the looks become rare while they fail; left out: they
   * have to find out.
   */
  readonly awaitBack?: () => Effect.Effect<void>;
  /** Longest pause between looks that fail, in ms. */
  readonly longestPauseMs?: number;
  /** Longest wait of one look. */
  readonly waitMs: number;
  /**
   * After a look that told of changes the next one begins this much later, in ms:
   * rows that change all the time are told together. Left out: at once.
   */
  readonly gatherMs?: number;
}

/** A step waits for the first partitions for the longest usual answer, in ms. */
const INITIAL_READ_WAIT_MS = 400;
/** The same while some partition is read: changes are due meanwhile, in ms. */
const LATER_READ_WAIT_MS = 100;
/** An answer takes no longer than this beyond the wait, in ms, as a rule. */
const ANSWER_TIMEOUT_MS = 500;
/** The same for large answers: 1 MB, which the stores give, at 1.5 Mbit/s. */
const MAX_ANSWER_TIMEOUT_MS = 6000;
/** First and longest pause between two tries, in ms. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 250;
/** Longest pause where somebody else notices the end of an outage, in ms. */
const MAX_BACKOFF_WITH_RECOVERY_MS = 1000;
/** Longest wait of one look while some partition is still to be read. */
const UNREAD_POLL_WAIT_MS = 200;

/** Keeps the keys that it has told of, to notice what has gone. */
export class RowFollower<T> {
  readonly #options: RowFollowerOptions<T>;
  readonly #reportedKeys = new Set<string>();
  /** Keys found since the reading of all partitions began. */
  readonly #foundKeys = new Set<string>();
  readonly #unread: Set<string>;
  /** Reads of partitions that are under way. */
  readonly #reads = new Map<string, partitionReads.PartitionRead<T>>();
  #position: number | null = null;
  /** Newest position that a page has told. */
  #newestPosition = 0;
  /** Whether the changes since the reading of all partitions are told. */
  #isCaughtUp = false;
  #lastPollAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the last look failed. */
  #hasFailed = false;
  #backoffMs = INITIAL_BACKOFF_MS;
  #answerTimeoutMs = ANSWER_TIMEOUT_MS;

  constructor(options: RowFollowerOptions<T>) {
    this.#options = options;
    this.#unread = new Set(options.feed.partitions);
  }

  /** Monotonic time of the last successful look. */
  get lastPollAtMs(): number {
    return this.#lastPollAtMs;
  }

  /** Whether all partitions have been read. */
  get hasSnapshot(): boolean {
    return this.#position !== null && this.#unread.size === 0;
  }

  /**
   * Whether all partitions have been read and the changes that came meanwhile
   * have been told.
   */
  get isCaughtUp(): boolean {
    return this.hasSnapshot && this.#isCaughtUp;
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
    const poll = Effect.gen({ self: this }, function* () {
      if (yield* this.#readMissing()) return;
      if (this.#position !== null) yield* this.#readChanges(this.#position);
      else if (this.#isFailing) yield* this.#pause();
    });
    return Effect.catch(poll, () => this.#pause());
  }

  /** Goes on with partitions that are to be read; tells whether one was. */
  #readMissing(): Effect.Effect<boolean> {
    const { mayRead, clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const readable = [...this.#unread].filter((p) => mayRead?.(p) ?? true);
      if (readable.length === 0) return false;
      const reads = readable.map((partition) => this.#partitionRead(partition));
      for (const read of reads) yield* read.resume();
      const timeoutMs = this.#position === null
        ? INITIAL_READ_WAIT_MS
        : LATER_READ_WAIT_MS;
      const healthy = reads.filter(({ isFailing }) => !isFailing);
      const settled = healthy.map((read) => read.awaitSettled());
      const all = Effect.all(settled, {
        concurrency: "unbounded",
        discard: true,
      });
      yield* clock.within(timeoutMs, all);
      for (const read of reads) this.#followFrom(read);
      return reads.filter((read) => this.#finishRead(read)).length > 0;
    });
  }

  /** Whether no partition that is read makes progress. */
  get #isFailing(): boolean {
    return [...this.#reads.values()].every(({ isFailing }) => isFailing);
  }

  #partitionRead(partition: string): partitionReads.PartitionRead<T> {
    const existing = this.#reads.get(partition);
    if (existing !== undefined) return existing;
    const created = new partitionReads.PartitionRead({
      ...this.#options,
      partition,
    });
    this.#reads.set(partition, created);
    return created;
  }

  /** Changes are followed from the oldest of the first pages on. */
  #followFrom(read: partitionReads.PartitionRead<T>): void {
    const first = read.takeFirstPosition();
    if (first === null) return;
    this.#position = Math.min(this.#position ?? first, first);
  }

  /** Takes in a partition if all of its pages have come. */
  #finishRead(read: partitionReads.PartitionRead<T>): boolean {
    const { result, partition } = read;
    if (result === null) return false;
    this.#reads.delete(partition);
    this.#unread.delete(partition);
    this.#newestPosition = Math.max(this.#newestPosition, read.newestPosition);
    this.#isCaughtUp = false;
    this.#report(result);
    this.#reportDeleted();
    return true;
  }

  #readChanges(position: number): Effect.Effect<void, Ports.StoreError> {
    const { feed, clock } = this.#options;
    const waitMs = this.#waitMs();
    const hasReadAll = this.#unread.size === 0;
    return Effect.gen({ self: this }, function* () {
      const timeoutMs = waitMs + this.#answerTimeoutMs;
      const polledAtMs = clock.monotonicMs();
      const poll = this.#retryOnRecovery(feed.changes(position, waitMs));
      const timed = yield* clock.within(timeoutMs, poll);
      if (timed === null) {
        // An answer may be large; it is not asked for again in less time.
        this.#answerTimeoutMs = Math.min(
          MAX_ANSWER_TIMEOUT_MS,
          this.#answerTimeoutMs * 2,
        );
        return yield* this.#pause();
      }
      this.#answerTimeoutMs = ANSWER_TIMEOUT_MS;
      const delayMs = clock.monotonicMs() - polledAtMs - waitMs;
      if (delayMs > 0) this.#options.onDelay?.(delayMs);
      const { entries, position: newPosition } = timed.value;
      this.#position = newPosition;
      const isUpToDate = entries.length === 0 ||
        newPosition >= this.#newestPosition;
      if (hasReadAll && isUpToDate) this.#isCaughtUp = true;
      for (const { key } of entries) {
        for (const read of this.#reads.values()) read.markChanged(key);
      }
      this.#report(entries);
      if (entries.length > 0) yield* this.#coalesce();
    }).pipe(
      Effect.catchTag(
        "HistoryLostError",
        () => this.#restart(),
      ),
    );
  }

  #coalesce(): Effect.Effect<void> {
    const { clock, gatherMs } = this.#options;
    const isCaughtUp = this.hasSnapshot && this.#isCaughtUp;
    if (gatherMs === undefined || !isCaughtUp) return Effect.void;
    return clock.sleep(gatherMs);
  }

  /**
   * What was asked during an outage is answered late, if ever: it is asked again
   * when the outage ends. The first answer counts, so that a slow store, whose
   * outages seem to end often, holds up no look.
   */
  #retryOnRecovery<A, E>(poll: Effect.Effect<A, E>): Effect.Effect<A, E> {
    const { awaitBack } = this.#options;
    if (awaitBack === undefined) return poll;
    return Effect.raceFirst(poll, Effect.andThen(awaitBack(), poll));
  }

  /** After a failure a look asks for an answer at once: is the store back? */
  #waitMs(): number {
    if (this.#hasFailed || (this.hasSnapshot && !this.#isCaughtUp)) return 0;
    return this.#unread.size === 0 ? this.#options.waitMs : UNREAD_POLL_WAIT_MS;
  }

  #restart(): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.#position = null;
      this.#isCaughtUp = false;
      this.#foundKeys.clear();
      for (const partition of this.#options.feed.partitions) {
        this.#unread.add(partition);
      }
      // Pages of a history that is lost are of no use.
      const reads = [...this.#reads.values()];
      this.#reads.clear();
      return Effect.forEach(reads, (read) => read.cancel(), { discard: true });
    });
  }

  #report(entries: readonly Ports.FeedEntry<T>[]): void {
    for (const { key, value } of entries) {
      const change = value === null ? "delete" : "add";
      this.#reportedKeys[change](key);
      this.#foundKeys[change](key);
    }
    this.#hasFailed = false;
    this.#backoffMs = INITIAL_BACKOFF_MS;
    if (entries.length > 0) this.#options.onChange(entries);
    this.#lastPollAtMs = this.#options.clock.monotonicMs();
    this.#options.onHeard?.();
  }

  /** Once all partitions are read: what is known and was not found is gone. */
  #reportDeleted(): void {
    if (this.#unread.size > 0) return;
    const deleted = [...this.#reportedKeys].filter((key) =>
      !this.#foundKeys.has(key)
    );
    for (const key of deleted) this.#reportedKeys.delete(key);
    if (deleted.length === 0) return;
    this.#options.onChange(deleted.map((key) => ({ key, value: null })));
  }

  #pause(): Effect.Effect<void> {
    const { clock, random, awaitBack, onFailed, longestPauseMs } =
      this.#options;
    this.#hasFailed = true;
    onFailed?.();
    const waitMs = random.jitter(this.#backoffMs);
    const defaultMs = awaitBack === undefined
      ? MAX_BACKOFF_MS
      : MAX_BACKOFF_WITH_RECOVERY_MS;
    const maxBackoffMs = longestPauseMs ?? defaultMs;
    this.#backoffMs = Math.min(this.#backoffMs * 2, maxBackoffMs);
    if (awaitBack === undefined) return clock.sleep(waitMs);
    return Effect.raceFirst(clock.sleep(waitMs), awaitBack());
  }
}
