/**
 * Counts the workflows of each queue that have not begun. The result of one scan of
 * all partitions is reused for a short time, because operators and callers request
 * the counts of several queues at a time.
 */
import type * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Options of WaitingCounts. */
export interface WaitingCountsOptions {
  readonly store: TableClient.StoreClient;
  readonly clock: Ports.Clock;
}

/** Age up to which counts are reused, in ms; callers accept twice as much. */
const MAX_AGE_MS = 1000;
/** A failed scan is not retried after this time, in ms, as callers wait for it. */
const READ_TIMEOUT_MS = 450;

type Counts = ReadonlyMap<string, number>;

interface Scan {
  readonly atMs: number;
  readonly counts: Deferred.Deferred<Counts, Errors.StoreUnavailableError>;
}

/** Counts of waiting workflows by queue. */
export class WaitingCounts {
  readonly #options: WaitingCountsOptions;
  #last: Scan | null = null;

  constructor(options: WaitingCountsOptions) {
    this.#options = options;
  }

  /** Returns the number of workflows of a queue that have not begun. */
  of(queue: string): Effect.Effect<number, Errors.StoreUnavailableError> {
    return Effect.map(this.#counts(), (counts) => counts.get(queue) ?? 0);
  }

  #counts(): Effect.Effect<Counts, Errors.StoreUnavailableError> {
    return Effect.suspend(() => {
      const nowMs = this.#options.clock.monotonicMs();
      const last = this.#last;
      if (last !== null && nowMs - last.atMs < MAX_AGE_MS) {
        return Deferred.await(last.counts);
      }
      return this.#scan(nowMs);
    });
  }

  /** Scans once for all concurrent requests; a failed scan is not reused. */
  #scan(nowMs: number): Effect.Effect<Counts, Errors.StoreUnavailableError> {
    const counts = Deferred.makeUnsafe<Counts, Errors.StoreUnavailableError>();
    const scan: Scan = { atMs: nowMs, counts };
    this.#last = scan;
    const read = Effect.tapError(this.#readAll(), () =>
      Effect.sync(() => {
        if (this.#last === scan) this.#last = null;
      }));
    // Detached, because an interruption of the first request must not end the others.
    return Effect.andThen(
      Effect.forkDetach(Deferred.into(read, counts)),
      Deferred.await(counts),
    );
  }

  #readAll(): Effect.Effect<Counts, Errors.StoreUnavailableError> {
    const scans = TableClient.Keys.PARTITIONS.map((partition) => {
      const prefix = TableClient.Keys.waitingPrefix(partition);
      return this.#options.store.scan(prefix, 0, READ_TIMEOUT_MS);
    });
    return Effect.map(
      Effect.all(scans, { concurrency: "unbounded" }),
      (pages) => countByQueue(pages.flat()),
    );
  }
}

function countByQueue(rows: readonly Ports.Row[]): Counts {
  const counts = new Map<string, number>();
  for (const { key } of rows) {
    const queue = TableClient.Keys.queueOfWaitingKey(key);
    counts.set(queue, (counts.get(queue) ?? 0) + 1);
  }
  return counts;
}
