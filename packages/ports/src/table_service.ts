/** The platform's transactional table service. */
import type * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import type * as pages from "./page_request.ts";
import type * as failures from "./store_error.ts";

/** A row. Revisions increase over the whole table; 0 means the row is absent. */
export interface Row {
  readonly key: string;
  /** Undefined if another program wrote the row in a form that can't be decoded. */
  readonly value: unknown;
  readonly revision: number;
  /** Id of the last transaction that wrote the row. */
  readonly writeId: string;
}

/** Requires a row to be at a revision when the transaction runs. */
export interface RowCondition {
  readonly key: string;
  readonly revision: number;
}

/** A new value for a row; null deletes the row. */
export interface RowWrite {
  readonly key: string;
  readonly value: unknown;
}

/** Writes that take effect together if all conditions hold, or not at all. */
export interface Transaction {
  readonly writeId: string;
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** One page of the rows under a prefix. */
export interface RowPage {
  readonly items: readonly Row[];
  /** Start of the next page; null after the last one. */
  readonly next: string | null;
}

/** Failures of a transaction. */
export type WriteError =
  | failures.StoreError
  | Errors.ConditionFailedError
  | Errors.WriteRefusedError;

/** Port of the table service. */
export abstract class TableService {
  /** Reads rows; absent ones are omitted. */
  abstract read(
    keys: readonly string[],
  ): Effect.Effect<readonly Row[], failures.StoreError>;

  /**
   * Checks with a minimal read that the service responds to this box. Adapters use a
   * new connection where open ones may have gone dead.
   */
  probe(key: string): Effect.Effect<void, failures.StoreError> {
    return Effect.asVoid(this.read([key]));
  }

  /** Reads the rows under a key prefix that are newer than a revision. */
  abstract scan(
    prefix: string,
    afterRevision: number,
  ): Effect.Effect<readonly Row[], failures.StoreError>;

  /**
   * Reads one page of the rows under a key prefix. A service without paging returns
   * all rows at once.
   */
  scanPage(
    prefix: string,
    _ask: pages.PageRequest,
  ): Effect.Effect<RowPage, failures.StoreError> {
    const all = this.scan(prefix, 0);
    return Effect.map(all, (items) => ({ items, next: null }));
  }

  /** Executes a transaction; returns the new revision. */
  abstract transact(
    tx: Transaction,
  ): Effect.Effect<number, WriteError>;
}
