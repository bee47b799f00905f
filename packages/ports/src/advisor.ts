/** A service that knows which workers a policy lets run a step. */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";

/** Permission to run a step's tasks on one life of a worker. */
export interface AdviceTicket {
  readonly worker: string;
  readonly ticket: string;
}

/** The workers that may run a step; the others asked about may not. */
export interface Advice {
  readonly tickets: readonly AdviceTicket[];
  readonly validityMs: number;
}

/** Most workers that one question may name. */
export const MOST_ADVISED = 100;

/** Port of the advice service. It answers a node's questions one by one. */
export abstract class Advisor {
  /** Which of these workers may run a step. */
  abstract ask(
    step: string,
    workers: readonly string[],
  ): Effect.Effect<Advice, Errors.StoreUnavailableError>;
}
