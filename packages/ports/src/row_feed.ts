/** Rows that can be followed as they change. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";
import type * as tables from "./table_service.ts";

/** A row as it is now; a null value means that it is gone. */
export interface FeedEntry<T> {
  readonly key: string;
  readonly value: T | null;
}

/** Rows of one moment, or changes up to a moment. */
export interface FeedPage<T> {
  readonly entries: readonly FeedEntry<T>[];
  /** Where to go on from. */
  readonly position: number;
}

/** Port of rows that can be followed. */
export abstract class RowFeed<T> {
  /** Partitions of the rows; each can fail while the others can be read. */
  abstract readonly partitions: readonly string[];

  /** All rows of one partition. */
  abstract snapshot(
    partition: string,
  ): Effect.Effect<FeedPage<T>, tables.StoreError>;

  /** Waits until rows change after a position, at most for a time. */
  abstract changes(
    position: number,
    waitMs: number,
  ): Effect.Effect<FeedPage<T>, tables.StoreError | Errors.HistoryLostError>;
}
