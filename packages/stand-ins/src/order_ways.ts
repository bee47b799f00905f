/**
 * Ways of orders to their endpoints, over connections that may be reset all at once:
 * what has not arrived by then is lost, and so is each answer that has not come back.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** How long orders are on their way. */
export interface WayTimes {
  /** Time to the endpoint, in ms; drawn for each order. */
  readonly thereMs: () => number;
}

/** An order on its way. */
interface OpenWay {
  readonly worker: string;
  /** Done when its connection is reset. */
  readonly reset: Deferred.Deferred<void>;
}

/** Orders of all boxes that are on their way. */
export class OrderWays {
  readonly #clock: Ports.Clock;
  readonly #open = new Set<OpenWay>();
  /** Null: orders are at their endpoints at once, and nothing resets them. */
  times: WayTimes | null = null;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Carries an order to an endpoint and its answer back. */
  carry<A>(
    worker: string,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.suspend(() => {
      const { times } = this;
      if (times === null) return order;
      const way: OpenWay = { worker, reset: Deferred.makeUnsafe<void>() };
      this.#open.add(way);
      const lost = Effect.fail(
        new Errors.WorkerLostError({
          worker,
          cause: "read ECONNRESET",
          neverSent: false,
        }),
      );
      const whole = Effect.andThen(this.#clock.sleep(times.thereMs()), order);
      const reset = Effect.andThen(Deferred.await(way.reset), lost);
      return Effect.ensuring(
        Effect.raceFirst(whole, reset),
        Effect.sync(() => this.#open.delete(way)),
      );
    });
  }

  /** Resets the connections to some endpoints; returns how many orders it struck. */
  reset(strikes: (worker: string) => boolean): number {
    const struck = [...this.#open].filter(({ worker }) => strikes(worker));
    for (const way of struck) Deferred.doneUnsafe(way.reset, Effect.void);
    return struck.length;
  }
}
