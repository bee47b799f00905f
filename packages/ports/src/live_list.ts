/** The platform's list of live and leaving machines. It lags. */
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";
import type * as failures from "./store_error.ts";

/** The list as it was read. */
export interface LiveSnapshot {
  /** Changes whenever the list does. */
  readonly tag: string;
  readonly workers: readonly Types.LiveEntry[];
}

/** Port of the live list. */
export abstract class LiveList {
  /**
   * Workers as the platform last knew them; null where nothing changed since
   * the snapshot with this tag.
   */
  abstract workers(
    previousTag: string | null,
  ): Effect.Effect<LiveSnapshot | null, failures.StoreError>;
}
