/** Makes the calls of one session that carry orders, and evaluates their failures. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as endpointEnds from "./endpoint_ends.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as sessionOptions from "./session_options.ts";

/** Dependencies of the orders. */
export interface EndpointOrdersOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly ends: endpointEnds.EndpointEnds;
}

/** Pause before an order is sent again, in ms. */
export const RETRY_DELAY_MS = 150;

/** Orders to one endpoint. */
export class EndpointOrders {
  readonly #options: EndpointOrdersOptions;

  constructor(options: EndpointOrdersOptions) {
    this.#options = options;
  }

  /** Makes a call; null where it was refused or had no answer within the limit. */
  call<A>(
    order: Effect.Effect<A, Ports.OrderError>,
    limitMs: number,
  ): Effect.Effect<A | null> {
    const { ports: { clock }, load } = this.#options.options;
    return Effect.gen({ self: this }, function* () {
      const allowedMs = load.extendLimit(limitMs);
      const timed = yield* Effect.result(clock.within(allowedMs, order));
      if (timed._tag === "Success") {
        if (timed.success === null) this.#noteUnanswered(false);
        return timed.success?.value ?? null;
      }
      const err = timed.failure;
      if (err._tag === "WorkerLostError") this.#noteUnanswered(true);
      if (err._tag === "WorkerReplacedError") {
        yield* this.#options.ends.noteReplaced();
      }
      this.#handleFailure(err);
      return null;
    });
  }

  #noteUnanswered(isConnectionLost: boolean): void {
    this.#options.state.incarnation.endEvidence.noteUnanswered(
      isConnectionLost,
    );
  }

  #handleFailure(err: Ports.OrderError): void {
    const { state: { incarnation }, options: { term } } = this.#options;
    const isRefused = err._tag === "WorkerLostError" && err.neverSent;
    if (isRefused) incarnation.endEvidence.noteRefused();
    this.#logFailure(err);
    const isFenced = err._tag === "OrderRefusedError" &&
      err.reason === Errors.OrderRefusal.Fenced;
    if (isFenced) term.lose(err.message);
  }

  /** Logs failures while the endpoint counts as reachable: later ones add nothing. */
  #logFailure(err: Ports.OrderError): void {
    const { state, options } = this.#options;
    if (!state.isReachable) return;
    const { id, address } = state.ref;
    options.ports.log.info(
      `An order to endpoint ${id} at ${address} failed: ${err.message}`,
    );
  }
}
