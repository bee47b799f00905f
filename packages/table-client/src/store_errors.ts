/** How calls to the store give up. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";

/** Why a call gave up. */
export type StoreFailure = Errors.StoreUnavailableError;

/** Why a write was not carried out. */
export type WriteFailure =
  | StoreFailure
  | Errors.ConditionFailedError
  | Errors.WriteRefusedError;

/** A call that gives up for this cause. */
export function unavailable(
  operation: string,
  cause: string,
): Effect.Effect<never, StoreFailure> {
  return Effect.fail(new Errors.StoreUnavailableError({ operation, cause }));
}
