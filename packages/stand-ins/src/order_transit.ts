/**
 * Transit of orders to endpoints and of their answers, over connections that may be
 * reset all at once. Each order has its own connection, so that answers overtake one
 * another. A reset loses the answers that have not arrived. It also loses the orders
 * that have not arrived, unless the endpoint had already buffered them and executes
 * them later. Such an order is lost with the incarnation that buffered it; an order
 * that OrderDelivery executes late also reaches the next incarnation.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Transit times of orders. */
export interface TransitTimes {
  /** Draws the time of an order to its endpoint, in ms. */
  readonly drawOutboundMs: () => number;
  /** Draws the time of its answer or refusal, in ms. */
  readonly drawReturnMs: () => number;
  /**
   * Draws the time from a reset to the arrival of an order that had not arrived, in ms;
   * null if it never arrives.
   */
  readonly drawAfterResetMs: () => number | null;
}

/** An order in flight. */
interface InFlightOrder {
  readonly endpoint: string;
  /** The incarnation it was sent to; no later one receives it. */
  readonly incarnation: unknown;
  hasArrived: boolean;
  /** Completed when its connection is reset. */
  readonly reset: Deferred.Deferred<void>;
}

/** Orders in flight of all boxes. */
export class OrderTransit {
  readonly #clock: Ports.Clock;
  readonly #incarnationOf: (endpoint: string) => unknown;
  readonly #inFlight = new Set<InFlightOrder>();
  /** Null: orders and answers arrive at once, and resets do not affect them. */
  times: TransitTimes | null = null;

  /** @param incarnationOf returns the current incarnation of an endpoint */
  constructor(
    clock: Ports.Clock,
    incarnationOf: (endpoint: string) => unknown,
  ) {
    this.#clock = clock;
    this.#incarnationOf = incarnationOf;
  }

  /** Number of orders that were sent and have not arrived. */
  get undeliveredCount(): number {
    return [...this.#inFlight].filter(({ hasArrived }) => !hasArrived).length;
  }

  /** Carries an order to an endpoint and returns its answer. */
  carry<A>(
    endpoint: string,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.suspend(() => {
      const { times } = this;
      if (times === null) return order;
      const inFlight: InFlightOrder = {
        endpoint,
        incarnation: this.#incarnationOf(endpoint),
        hasArrived: false,
        reset: Deferred.makeUnsafe<void>(),
      };
      this.#inFlight.add(inFlight);
      const reset = Effect.andThen(
        Deferred.await(inFlight.reset),
        Effect.suspend(() =>
          this.#failReset(inFlight, order, times.drawAfterResetMs())
        ),
      );
      return Effect.ensuring(
        Effect.raceFirst(this.#roundTrip(inFlight, order, times), reset),
        Effect.sync(() => this.#inFlight.delete(inFlight)),
      );
    });
  }

  /**
   * Resets the connections to some endpoints; returns the number of affected orders.
   */
  reset(isAffected: (endpoint: string) => boolean): number {
    const affected = [...this.#inFlight].filter(({ endpoint }) =>
      isAffected(endpoint)
    );
    for (const order of affected) Deferred.doneUnsafe(order.reset, Effect.void);
    return affected.length;
  }

  #roundTrip<A>(
    inFlight: InFlightOrder,
    order: Effect.Effect<A, Ports.OrderError>,
    times: TransitTimes,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#clock.sleep(times.drawOutboundMs());
      inFlight.hasArrived = true;
      const answer = yield* Effect.result(order);
      yield* this.#clock.sleep(times.drawReturnMs());
      return yield* Effect.fromResult(answer);
    });
  }

  /** Fails an order after a reset; it may still arrive later. */
  #failReset<A>(
    inFlight: InFlightOrder,
    order: Effect.Effect<A, Ports.OrderError>,
    afterMs: number | null,
  ): Effect.Effect<never, Ports.OrderError> {
    if (!inFlight.hasArrived && afterMs !== null) {
      const arrive = Effect.suspend(() =>
        this.#incarnationOf(inFlight.endpoint) === inFlight.incarnation
          ? Effect.ignoreCause(order)
          : Effect.void
      );
      Effect.runFork(Effect.andThen(this.#clock.sleep(afterMs), arrive));
    }
    return Effect.fail(
      new Errors.WorkerLostError({
        worker: inFlight.endpoint,
        cause: "read ECONNRESET",
        neverSent: false,
      }),
    );
  }
}
