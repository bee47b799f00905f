/**
 * Follows rows for ever: reads all, then waits for changes; reads all again
 * when the history is lost.
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
  /** Longest wait of one look. */
  readonly waitMs: number;
}

const SNAPSHOT_LIMIT_MS = 1500;
const ANSWER_SLACK_MS = 500;
const FIRST_BACKOFF_MS = 50;
const LONGEST_BACKOFF_MS = 250;

/** Keeps the keys that it has told of, to notice what has gone. */
export class RowFollower<T> {
  readonly #options: RowFollowerOptions<T>;
  readonly #known = new Set<string>();
  #position: number | null = null;
  #heardAtMs = Number.NEGATIVE_INFINITY;
  #backoffMs = FIRST_BACKOFF_MS;

  constructor(options: RowFollowerOptions<T>) {
    this.#options = options;
  }

  /** Monotonic time of the last successful look. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** Whether all rows have been read at least once. */
  get hasSnapshot(): boolean {
    return this.#position !== null;
  }

  /** Follows for ever. */
  run(): Effect.Effect<never> {
    return Effect.forever(this.step());
  }

  /** One look: a snapshot, or a wait for changes. */
  step(): Effect.Effect<void> {
    const look = Effect.suspend(() =>
      this.#position === null
        ? this.#readAll()
        : this.#readChanges(this.#position)
    );
    return Effect.catch(look, () => this.#pause());
  }

  #readAll(): Effect.Effect<void, Ports.StoreError> {
    const { feed, clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const timed = yield* clock.within(SNAPSHOT_LIMIT_MS, feed.snapshot());
      if (timed === null) return yield* this.#pause();
      const { entries, position } = timed.value;
      const present = new Set(entries.map((entry) => entry.key));
      const gone = [...this.#known].filter((key) => !present.has(key));
      const removed = gone.map((key) => ({ key, value: null }));
      this.#take([...entries, ...removed], position);
    });
  }

  #readChanges(position: number): Effect.Effect<void, Ports.StoreError> {
    const { feed, clock, waitMs } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const limitMs = waitMs + ANSWER_SLACK_MS;
      const timed = yield* clock.within(
        limitMs,
        feed.changes(position, waitMs),
      );
      if (timed === null) return yield* this.#pause();
      this.#take(timed.value.entries, timed.value.position);
    }).pipe(
      Effect.catchTag("HistoryLostError", () =>
        Effect.sync(() => {
          this.#position = null;
        })),
    );
  }

  #take(entries: readonly Ports.FeedEntry<T>[], position: number): void {
    for (const { key, value } of entries) {
      if (value === null) this.#known.delete(key);
      else this.#known.add(key);
    }
    this.#position = position;
    this.#backoffMs = FIRST_BACKOFF_MS;
    if (entries.length > 0) this.#options.onChange(entries);
    this.#heardAtMs = this.#options.clock.monotonicMs();
    this.#options.onHeard?.();
  }

  #pause(): Effect.Effect<void> {
    const { clock, random } = this.#options;
    this.#options.onFailed?.();
    const waitMs = random.jitter(this.#backoffMs);
    this.#backoffMs = Math.min(this.#backoffMs * 2, LONGEST_BACKOFF_MS);
    return clock.sleep(waitMs);
  }
}
