/** Rows that can be followed as they change. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";
import type * as pages from "./page_ask.ts";
import type * as failures from "./store_error.ts";

/** A row as it is now; a null value means that it is gone. */
export interface FeedEntry<T> {
  readonly key: string;
  readonly value: T | null;
}

/** Changes up to a moment. */
export interface FeedPage<T> {
  readonly entries: readonly FeedEntry<T>[];
  /** Where to go on from. */
  readonly position: number;
}

/** Some of the rows of a partition. */
export interface SnapshotPage<T> {
  readonly items: readonly FeedEntry<T>[];
  /** Where the next page begins; null after the last one. */
  readonly next: string | null;
  /** Changes after this position may be missing from this page. */
  readonly position: number;
}

/** Port of rows that can be followed. */
export abstract class RowFeed<T> {
  /** Partitions of the rows; each can fail while the others can be read. */
  abstract readonly partitions: readonly string[];

  /** Rows of one partition, a page at a time. */
  abstract page(
    partition: string,
    ask: pages.PageAsk,
  ): Effect.Effect<SnapshotPage<T>, failures.StoreError>;

  /** Waits until rows change after a position, at most for a time. */
  abstract changes(
    position: number,
    waitMs: number,
  ): Effect.Effect<FeedPage<T>, failures.StoreError | Errors.HistoryLostError>;
}
