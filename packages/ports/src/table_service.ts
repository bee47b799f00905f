/** The platform's transactional table service. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";

/** A row. Revisions grow over the whole table; 0 means the row is absent. */
export interface Row {
  readonly key: string;
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

/** The service did not answer; a write may or may not have taken effect. */
export type StoreError =
  | Errors.StoreUnavailableError
  | Errors.AnswerLostError;

/** Port of the table service. */
export abstract class TableService {
  /** Reads rows; absent ones are left out. */
  abstract read(
    keys: readonly string[],
  ): Effect.Effect<readonly Row[], StoreError>;

  /** Rows whose key starts with a prefix and that are newer than a revision. */
  abstract scan(
    prefix: string,
    afterRevision: number,
  ): Effect.Effect<readonly Row[], StoreError>;

  /** Carries out a transaction; returns the new revision. */
  abstract transact(
    tx: Transaction,
  ): Effect.Effect<number, StoreError | Errors.ConditionFailedError>;
}
