/** The platform's list of live and leaving machines. It lags. */
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";
import type * as tables from "./table_service.ts";

/** Port of the live list. */
export abstract class LiveList {
  /** Workers as the platform last knew them. */
  abstract workers(): Effect.Effect<
    readonly Types.LiveEntry[],
    tables.StoreError
  >;
}
