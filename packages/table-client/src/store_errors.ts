/** Failures of calls to the store. */
import * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";

/** Failure of a call that got no answer before its deadline. */
export type StoreFailure = Errors.StoreUnavailableError;

/** Failures of a write. */
export type WriteFailure =
  | StoreFailure
  | Errors.ConditionFailedError
  | Errors.WriteRefusedError;

/** Fails with `StoreUnavailableError` for the given cause. */
export function unavailable(
  operation: string,
  cause: string,
): Effect.Effect<never, StoreFailure> {
  return Effect.fail(new Errors.StoreUnavailableError({ operation, cause }));
}
