/** Failures of calls to the platform's store. */
import type * as Errors from "@cairngate/errors";

/** The store did not respond; a write may or may not have taken effect. */
export type StoreError =
  | Errors.StoreUnavailableError
  | Errors.AnswerLostError;
