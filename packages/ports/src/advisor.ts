/** The advice service, which decides which endpoints a policy allows for a step. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";

/** Permission to run a step's tasks on one incarnation of an endpoint. */
export interface AdviceTicket {
  readonly worker: string;
  readonly ticket: string;
}

/** The endpoints that may run a step; the others in the request may not. */
export interface Advice {
  readonly tickets: readonly AdviceTicket[];
  readonly validityMs: number;
}

/** Maximum number of endpoints in one request. */
export const MAX_ADVISED_ENDPOINTS = 100;

/** Port of the advice service, which handles one request of a box at a time. */
export abstract class Advisor {
  /** Returns which of the given endpoints may run a step. */
  abstract requestAdvice(
    step: string,
    endpoints: readonly string[],
  ): Effect.Effect<Advice, Errors.StoreUnavailableError>;
}
