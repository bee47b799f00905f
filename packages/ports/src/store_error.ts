/** What a call to the platform's store can fail with. */
import type * as Errors from "@cairngate/errors";

/** The service did not answer; a write may or may not have taken effect. */
export type StoreError =
  | Errors.StoreUnavailableError
  | Errors.AnswerLostError;
