/**
 * Follows rows indefinitely: reads all partitions page by page, then polls for
 * changes, and reads everything again when the history is lost. Reads run
 * concurrently with the polls, so that a slow or unavailable partition does not
 * delay the others.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as partitionReads from "./partition_read.ts";

/** Dependencies and settings of a follower. */
export interface RowFollowerOptions<T> {
  readonly feed: Ports.RowFeed<T>;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  /** Called with every change; a complete snapshot also reports deleted rows. */
  readonly onChange: (entries: readonly Ports.FeedEntry<T>[]) => void;
  /** Called after each successful read or poll, also where nothing changed. */
  readonly onPolled?: () => void;
  /** Called with the time of an answer beyond the requested wait, in ms. */
  readonly onAnswerDelay?: (ms: number) => void;
  /** Called after each failure. */
  readonly onFailed?: () => void;
  /** Whether a partition may be read now; always true if omitted. */
  readonly canRead?: (partition: string) => boolean;
  /**
   * Completes when the store answers again after an outage; ends a pause and repeats
   * a pending poll. With it, failing polls back off further; if omitted, only
   * frequent polls can detect the end of an outage.
   */
  readonly awaitRecovery?: () => Effect.Effect<void>;
  /** Longest pause after a failure, in ms. */
  readonly maxPauseMs?: number;
  /** Longest wait for changes in one poll, in ms. */
  readonly waitMs: number;
  /**
   * Pause after a poll that returned changes, in ms, so that rows which change
   * constantly are reported in batches; no pause if omitted.
   */
  readonly coalesceMs?: number;
}

/** Wait for the first partitions in one step, in ms: the longest usual answer. */
const INITIAL_READ_WAIT_MS = 400;
/** Wait in later steps, in ms; short, as the poll for changes follows it. */
const LATER_READ_WAIT_MS = 100;
/** Timeout of an answer beyond the wait of the poll, in ms. */
const ANSWER_TIMEOUT_MS = 500;
/** Longest such timeout, in ms: the largest answer, 1 MB, at 1.5 Mbit/s. */
const MAX_ANSWER_TIMEOUT_MS = 6000;
/** First and longest pause after a failure, in ms. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 250;
/** Longest pause where the end of an outage is reported, in ms. */
const MAX_BACKOFF_WITH_RECOVERY_MS = 1000;
/** Longest wait of a poll while a partition is still unread, in ms. */
const UNREAD_POLL_WAIT_MS = 200;

/** Reports changed rows; keeps the reported keys to detect deleted rows. */
export class RowFollower<T> {
  readonly #options: RowFollowerOptions<T>;
  readonly #reportedKeys = new Set<string>();
  /** Keys found since the last read of all partitions began. */
  readonly #foundKeys = new Set<string>();
  readonly #unread: Set<string>;
  /** Reads in progress, by partition. */
  readonly #reads = new Map<string, partitionReads.PartitionRead<T>>();
  #position: number | null = null;
  /** Newest position of all pages. */
  #newestPosition = 0;
  /** Whether the changes made during the read of all partitions are reported. */
  #isCaughtUp = false;
  #lastPollAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the last poll failed. */
  #hasFailed = false;
  #backoffMs = INITIAL_BACKOFF_MS;
  #answerTimeoutMs = ANSWER_TIMEOUT_MS;

  constructor(options: RowFollowerOptions<T>) {
    this.#options = options;
    this.#unread = new Set(options.feed.partitions);
  }

  /** Monotonic time of the last successful read or poll, in ms. */
  get lastPollAtMs(): number {
    return this.#lastPollAtMs;
  }

  /** Whether all partitions have been read. */
  get hasSnapshot(): boolean {
    return this.#position !== null && this.#unread.size === 0;
  }

  /**
   * Whether all partitions have been read and the changes made during the read
   * have been reported.
   */
  get isCaughtUp(): boolean {
    return this.hasSnapshot && this.#isCaughtUp;
  }

  /** Whether a partition has been read. */
  hasRead(partition: string): boolean {
    return this.#position !== null && !this.#unread.has(partition);
  }

  /** Follows the rows until it is interrupted. */
  run(): Effect.Effect<never> {
    return Effect.forever(this.step());
  }

  /** Reads unread partitions or polls for changes once. */
  step(): Effect.Effect<void> {
    const poll = Effect.gen({ self: this }, function* () {
      if (yield* this.#readMissing()) return;
      if (this.#position !== null) yield* this.#readChanges(this.#position);
      else if (this.#isFailing) yield* this.#pause();
    });
    return Effect.catch(poll, () => this.#pause());
  }

  /** Continues the reads of unread partitions; returns whether one completed. */
  #readMissing(): Effect.Effect<boolean> {
    const { canRead, clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const readable = [...this.#unread].filter((p) => canRead?.(p) ?? true);
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

  /** Whether every read in progress is failing. */
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

  /** Starts following changes from the oldest position of the first pages. */
  #followFrom(read: partitionReads.PartitionRead<T>): void {
    const first = read.takeFirstPosition();
    if (first === null) return;
    this.#position = Math.min(this.#position ?? first, first);
  }

  /** Reports the rows of a partition once all of its pages have arrived. */
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
        // The answer may be large, so the next poll gets more time.
        this.#answerTimeoutMs = Math.min(
          MAX_ANSWER_TIMEOUT_MS,
          this.#answerTimeoutMs * 2,
        );
        return yield* this.#pause();
      }
      this.#answerTimeoutMs = ANSWER_TIMEOUT_MS;
      const delayMs = clock.monotonicMs() - polledAtMs - waitMs;
      if (delayMs > 0) this.#options.onAnswerDelay?.(delayMs);
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
    const { clock, coalesceMs } = this.#options;
    const isCaughtUp = this.hasSnapshot && this.#isCaughtUp;
    if (coalesceMs === undefined || !isCaughtUp) return Effect.void;
    return clock.sleep(coalesceMs);
  }

  /**
   * Repeats a poll when an outage ends, because a poll sent during the outage may
   * never be answered. The first answer counts, so that a slow store, whose outages
   * seem to end often, does not delay the poll.
   */
  #retryOnRecovery<A, E>(poll: Effect.Effect<A, E>): Effect.Effect<A, E> {
    const { awaitRecovery } = this.#options;
    if (awaitRecovery === undefined) return poll;
    return Effect.raceFirst(poll, Effect.andThen(awaitRecovery(), poll));
  }

  /** Wait of the next poll; 0 after a failure, to detect at once that it is over. */
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
      // Pages read before the history was lost are obsolete.
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
    this.#options.onPolled?.();
  }

  /** Once all partitions are read, reports keys that were not found as deleted. */
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
    const {
      clock,
      random,
      awaitRecovery,
      onFailed,
      maxPauseMs,
    } = this.#options;
    this.#hasFailed = true;
    onFailed?.();
    const waitMs = random.jitter(this.#backoffMs);
    const defaultMs = awaitRecovery === undefined
      ? MAX_BACKOFF_MS
      : MAX_BACKOFF_WITH_RECOVERY_MS;
    const maxBackoffMs = maxPauseMs ?? defaultMs;
    this.#backoffMs = Math.min(this.#backoffMs * 2, maxBackoffMs);
    if (awaitRecovery === undefined) return clock.sleep(waitMs);
    return Effect.raceFirst(clock.sleep(waitMs), awaitRecovery());
  }
}
