/**
 * Ways of orders to their endpoints and back, over connections that may be reset all at
 * once. Each order has a connection of its own, so that answers overtake one another.
 * An answer that has not come back by a reset is lost. So is an order that has not
 * arrived, or the endpoint finds it in what it had received, and carries it out later.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** How long orders are on their way. */
export interface WayTimes {
  /** Time to the endpoint, in ms; drawn for each order. */
  readonly thereMs: () => number;
  /** Time of its answer or refusal back, in ms. */
  readonly backMs: () => number;
  /**
   * How long after a reset an order arrives that had not arrived before, in ms; null:
   * it never does.
   */
  readonly afterResetMs: () => number | null;
}

/** An order on its way. */
interface OpenWay {
  readonly worker: string;
  /** The life at its other end; no later one receives what was sent to this. */
  readonly life: unknown;
  hasArrived: boolean;
  /** Done when its connection is reset. */
  readonly reset: Deferred.Deferred<void>;
}

/** Orders of all boxes that are on their way. */
export class OrderWays {
  readonly #clock: Ports.Clock;
  readonly #lifeOf: (worker: string) => unknown;
  readonly #open = new Set<OpenWay>();
  /** Null: orders and answers are there at once, and nothing resets them. */
  times: WayTimes | null = null;

  /** @param lifeOf the life of an endpoint that listens now */
  constructor(clock: Ports.Clock, lifeOf: (worker: string) => unknown) {
    this.#clock = clock;
    this.#lifeOf = lifeOf;
  }

  /** How many orders have left and not arrived. */
  get leftCount(): number {
    return [...this.#open].filter(({ hasArrived }) => !hasArrived).length;
  }

  /** Carries an order to an endpoint and its answer back. */
  carry<A>(
    worker: string,
    order: Effect.Effect<A, Ports.OrderError>,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.suspend(() => {
      const { times } = this;
      if (times === null) return order;
      const way: OpenWay = {
        worker,
        life: this.#lifeOf(worker),
        hasArrived: false,
        reset: Deferred.makeUnsafe<void>(),
      };
      this.#open.add(way);
      const reset = Effect.andThen(
        Deferred.await(way.reset),
        Effect.suspend(() => this.#break(way, order, times.afterResetMs())),
      );
      return Effect.ensuring(
        Effect.raceFirst(this.#goAndReturn(way, order, times), reset),
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

  #goAndReturn<A>(
    way: OpenWay,
    order: Effect.Effect<A, Ports.OrderError>,
    times: WayTimes,
  ): Effect.Effect<A, Ports.OrderError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#clock.sleep(times.thereMs());
      way.hasArrived = true;
      const answer = yield* Effect.result(order);
      yield* this.#clock.sleep(times.backMs());
      return yield* Effect.fromResult(answer);
    });
  }

  /** The box learns of the reset, and the order may arrive all the same. */
  #break<A>(
    way: OpenWay,
    order: Effect.Effect<A, Ports.OrderError>,
    afterMs: number | null,
  ): Effect.Effect<never, Ports.OrderError> {
    if (!way.hasArrived && afterMs !== null) {
      const arrive = Effect.suspend(() =>
        this.#lifeOf(way.worker) === way.life
          ? Effect.ignoreCause(order)
          : Effect.void
      );
      Effect.runFork(Effect.andThen(this.#clock.sleep(afterMs), arrive));
    }
    return Effect.fail(
      new Errors.WorkerLostError({
        worker: way.worker,
        cause: "read ECONNRESET",
        neverSent: false,
      }),
    );
  }
}
