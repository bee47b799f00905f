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
const FIRST_PAGE_MS = 400;
/** The same while some partition is read: changes are due meanwhile, in ms. */
const MORE_PAGES_MS = 100;
/** An answer takes no longer than this beyond the wait, in ms, as a rule. */
const ANSWER_MS = 500;
/** The same for large answers: 1 MB, which the stores give, at 1.5 Mbit/s. */
const LONGEST_ANSWER_MS = 6000;
/** First and longest pause between two tries, in ms. */
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
  /** Reads of partitions that are under way. */
  readonly #reads = new Map<string, partitionReads.PartitionRead<T>>();
  #position: number | null = null;
  /** Newest position that a page has told. */
  #newestPosition = 0;
  /** Whether the changes since the reading of all partitions are told. */
  #isCaughtUp = false;
  #heardAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the last look failed. */
  #hasFailed = false;
  #backoffMs = FIRST_BACKOFF_MS;
  #answerMs = ANSWER_MS;

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
    const look = Effect.gen({ self: this }, function* () {
      if (yield* this.#readMissing()) return;
      if (this.#position !== null) yield* this.#readChanges(this.#position);
      else if (this.#isFailing) yield* this.#pause();
    });
    return Effect.catch(look, () => this.#pause());
  }

  /** Goes on with partitions that are to be read; tells whether one was. */
  #readMissing(): Effect.Effect<boolean> {
    const { mayRead, clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const open = [...this.#unread].filter((p) => mayRead?.(p) ?? true);
      if (open.length === 0) return false;
      const reads = open.map((partition) => this.#readOf(partition));
      for (const read of reads) yield* read.goOn();
      const limitMs = this.#position === null ? FIRST_PAGE_MS : MORE_PAGES_MS;
      const well = reads.filter(({ isFailing }) => !isFailing);
      const turns = well.map((read) => read.awaitTurn());
      const all = Effect.all(turns, {
        concurrency: "unbounded",
        discard: true,
      });
      yield* clock.within(limitMs, all);
      for (const read of reads) this.#join(read);
      return reads.filter((read) => this.#takeRead(read)).length > 0;
    });
  }

  /** Whether no partition that is read makes progress. */
  get #isFailing(): boolean {
    return [...this.#reads.values()].every(({ isFailing }) => isFailing);
  }

  #readOf(partition: string): partitionReads.PartitionRead<T> {
    const known = this.#reads.get(partition);
    if (known !== undefined) return known;
    const made = new partitionReads.PartitionRead({
      ...this.#options,
      partition,
    });
    this.#reads.set(partition, made);
    return made;
  }

  /** Changes are followed from the oldest of the first pages on. */
  #join(read: partitionReads.PartitionRead<T>): void {
    const first = read.takeFirstPosition();
    if (first === null) return;
    this.#position = Math.min(this.#position ?? first, first);
  }

  /** Takes in a partition if all of its pages have come. */
  #takeRead(read: partitionReads.PartitionRead<T>): boolean {
    const { result, partition } = read;
    if (result === null) return false;
    this.#reads.delete(partition);
    this.#unread.delete(partition);
    this.#newestPosition = Math.max(this.#newestPosition, read.newestPosition);
    this.#isCaughtUp = false;
    this.#take(result);
    this.#tellGone();
    return true;
  }

  #readChanges(position: number): Effect.Effect<void, Ports.StoreError> {
    const { feed, clock } = this.#options;
    const waitMs = this.#waitMs();
    const hasReadAll = this.#unread.size === 0;
    return Effect.gen({ self: this }, function* () {
      const limitMs = waitMs + this.#answerMs;
      const askedAtMs = clock.monotonicMs();
      const asked = this.#againWhenBack(feed.changes(position, waitMs));
      const timed = yield* clock.within(limitMs, asked);
      if (timed === null) {
        // An answer may be large; it is not asked for again in less time.
        this.#answerMs = Math.min(LONGEST_ANSWER_MS, this.#answerMs * 2);
        return yield* this.#pause();
      }
      this.#answerMs = ANSWER_MS;
      const delayMs = clock.monotonicMs() - askedAtMs - waitMs;
      if (delayMs > 0) this.#options.onDelay?.(delayMs);
      const { entries, position: reached } = timed.value;
      this.#position = reached;
      const isAll = entries.length === 0 || reached >= this.#newestPosition;
      if (hasReadAll && isAll) this.#isCaughtUp = true;
      for (const { key } of entries) {
        for (const read of this.#reads.values()) read.noteChange(key);
      }
      this.#take(entries);
      if (entries.length > 0) yield* this.#gather();
    }).pipe(
      Effect.catchTag(
        "HistoryLostError",
        () => this.#beginAgain(),
      ),
    );
  }

  #gather(): Effect.Effect<void> {
    const { clock, gatherMs } = this.#options;
    const isAllTold = this.hasSnapshot && this.#isCaughtUp;
    if (gatherMs === undefined || !isAllTold) return Effect.void;
    return clock.sleep(gatherMs);
  }

  /**
   * What was asked during an outage is answered late, if ever: it is asked again
   * when the outage ends. The first answer counts, so that a slow store, whose
   * outages seem to end often, holds up no look.
   */
  #againWhenBack<A, E>(look: Effect.Effect<A, E>): Effect.Effect<A, E> {
    const { awaitBack } = this.#options;
    if (awaitBack === undefined) return look;
    return Effect.raceFirst(look, Effect.andThen(awaitBack(), look));
  }

  /** After a failure a look asks for an answer at once: is the store back? */
  #waitMs(): number {
    if (this.#hasFailed || (this.hasSnapshot && !this.#isCaughtUp)) return 0;
    return this.#unread.size === 0 ? this.#options.waitMs : UNREAD_WAIT_MS;
  }

  #beginAgain(): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.#position = null;
      this.#isCaughtUp = false;
      this.#present.clear();
      for (const partition of this.#options.feed.partitions) {
        this.#unread.add(partition);
      }
      // Pages of a history that is lost are of no use.
      const reads = [...this.#reads.values()];
      this.#reads.clear();
      return Effect.forEach(reads, (read) => read.giveUp(), { discard: true });
    });
  }

  #take(entries: readonly Ports.FeedEntry<T>[]): void {
    for (const { key, value } of entries) {
      const change = value === null ? "delete" : "add";
      this.#known[change](key);
      this.#present[change](key);
    }
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
    const { clock, random, awaitBack, onFailed, longestPauseMs } =
      this.#options;
    this.#hasFailed = true;
    onFailed?.();
    const waitMs = random.jitter(this.#backoffMs);
    const usualMs = awaitBack === undefined
      ? LONGEST_BACKOFF_MS
      : LONGEST_AWAITED_MS;
    const longestMs = longestPauseMs ?? usualMs;
    this.#backoffMs = Math.min(this.#backoffMs * 2, longestMs);
    if (awaitBack === undefined) return clock.sleep(waitMs);
    return Effect.raceFirst(clock.sleep(waitMs), awaitBack());
  }
}
