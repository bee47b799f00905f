/** The platform's transactional table service. */
import type * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import type * as pages from "./page_ask.ts";
import type * as failures from "./store_error.ts";

/** A row. Revisions grow over the whole table; 0 means the row is absent. */
export interface Row {
  readonly key: string;
  /** Undefined where somebody else wrote the row, so that nobody can read it. */
  readonly value: unknown;
  readonly revision: number;
  /** Id of the transaction that wrote the row last. */
  readonly writeId: string;
}

/** The row must be at this revision when the transaction runs. */
export interface RowCondition {
  readonly key: string;
  readonly revision: number;
}

/** A new value for a row; null removes it. */
export interface RowWrite {
  readonly key: string;
  readonly value: unknown;
}

/** All conditions hold and all writes happen, or nothing happens. */
export interface Transaction {
  readonly writeId: string;
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** Some of the rows under a prefix. */
export interface RowPage {
  readonly items: readonly Row[];
  /** Where the next page begins; null after the last one. */
  readonly next: string | null;
}

/** Failures of a transaction. */
export type WriteError =
  | failures.StoreError
  | Errors.ConditionFailedError
  | Errors.WriteRefusedError;

/** Port of the table service. */
export abstract class TableService {
  /** Reads rows; absent ones are left out. */
  abstract read(
    keys: readonly string[],
  ): Effect.Effect<readonly Row[], failures.StoreError>;

  /**
   * Asks for next to nothing: does the service answer this box? Where open
   * connections may have turned silent, it goes over a new one.
   */
  probe(key: string): Effect.Effect<void, failures.StoreError> {
    return Effect.asVoid(this.read([key]));
  }

  /** Rows whose key starts with a prefix and that are newer than a revision. */
  abstract scan(
    prefix: string,
    afterRevision: number,
  ): Effect.Effect<readonly Row[], failures.StoreError>;

  /**
   * Rows whose key starts with a prefix, a page at a time. A service that has no
   * pages answers with all of them.
   */
  scanPage(
    prefix: string,
    _ask: pages.PageAsk,
  ): Effect.Effect<RowPage, failures.StoreError> {
    const all = this.scan(prefix, 0);
    return Effect.map(all, (items) => ({ items, next: null }));
  }

  /** Carries out a transaction; returns the new revision. */
  abstract transact(
    tx: Transaction,
  ): Effect.Effect<number, WriteError>;
}
