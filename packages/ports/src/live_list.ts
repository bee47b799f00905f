/** The platform's list of live and leaving workers, which lags behind reality. */
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";
import type * as failures from "./store_error.ts";

/** One version of the live list. */
export interface LiveSnapshot {
  /** Version tag; changes whenever the list does. */
  readonly tag: string;
  readonly workers: readonly Types.LiveEntry[];
}

/** Port of the live list. */
export abstract class LiveList {
  /**
   * Reads the list; null if nothing has changed since the snapshot with
   * `previousTag`.
   */
  abstract workers(
    previousTag: string | null,
  ): Effect.Effect<LiveSnapshot | null, failures.StoreError>;
}
