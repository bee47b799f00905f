/** Rows with a feed of their changes. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";
import type * as pages from "./page_request.ts";
import type * as failures from "./store_error.ts";

/** The current state of a row; a null value means that it was deleted. */
export interface FeedEntry<T> {
  readonly key: string;
  readonly value: T | null;
}

/** Changes up to a position. */
export interface FeedPage<T> {
  readonly entries: readonly FeedEntry<T>[];
  /** Position to pass to the next read of changes. */
  readonly position: number;
}

/** One page of the rows of a partition. */
export interface SnapshotPage<T> {
  readonly items: readonly FeedEntry<T>[];
  /** Start of the next page; null after the last one. */
  readonly next: string | null;
  /** Changes after this position may be missing from this page. */
  readonly position: number;
}

/** Port of rows with a feed of their changes. */
export abstract class RowFeed<T> {
  /** Partitions of the rows; each can fail independently of the others. */
  abstract readonly partitions: readonly string[];

  /** Reads one page of a partition's rows. */
  abstract page(
    partition: string,
    request: pages.PageRequest,
  ): Effect.Effect<SnapshotPage<T>, failures.StoreError>;

  /** Returns the changes after a position; waits up to `waitMs` for the first one. */
  abstract changes(
    position: number,
    waitMs: number,
  ): Effect.Effect<FeedPage<T>, failures.StoreError | Errors.HistoryLostError>;
}
