/** Delivers orders to stand-in endpoints, with the outcomes that tests choose. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as registries from "./incarnation_registry.ts";
import * as outcomes from "./order_outcome.ts";
import * as incarnations from "./incarnation.ts";

/** Rules for the outcomes of orders; tests may change them. */
export interface OrderRules {
  readonly decideOutcome: (
    endpoint: string,
    order: outcomes.OrderKind,
  ) => outcomes.OrderOutcome;
  readonly atDeadAddress: outcomes.DeadAddressOutcome;
  /** Transit time of each order, in ms; with 0, it is answered at once. */
  readonly transitMs: number;
  /** Transit time of a late order, in ms. */
  readonly lateMs: number;
}

/** Options of OrderDelivery. */
export interface OrderDeliveryOptions {
  readonly clock: Ports.Clock;
  readonly registry: registries.IncarnationRegistry;
  readonly rules: OrderRules;
  /** Updates an incarnation to the current time. */
  readonly advance: (incarnation: incarnations.Incarnation) => void;
}

/** An order and its effect on the incarnation that gets it. */
export interface Order<A> {
  readonly endpoint: Ports.EndpointRef;
  readonly kind: outcomes.OrderKind;
  readonly work: (incarnation: incarnations.Incarnation) => A;
}

type Delivery<A> = Effect.Effect<A, Ports.OrderError>;

/** Delivers the orders of one test. */
export class OrderDelivery {
  readonly #options: OrderDeliveryOptions;
  #isExecutingLate = false;

  constructor(options: OrderDeliveryOptions) {
    this.#options = options;
  }

  /** Whether an order is being executed seconds after it was sent. */
  get isExecutingLate(): boolean {
    return this.#isExecutingLate;
  }

  /** Delivers an order with the outcome that the test chooses. */
  deliver<A>(order: Order<A>): Delivery<A> {
    const { clock, rules } = this.#options;
    const delivered = Effect.suspend(() => this.#deliverNow(order));
    return Effect.suspend(() =>
      rules.transitMs === 0
        ? delivered
        : Effect.andThen(clock.sleep(rules.transitMs), delivered)
    );
  }

  #deliverNow<A>(order: Order<A>): Delivery<A> {
    const { endpoint, kind } = order;
    const { OrderOutcome } = outcomes;
    const how = this.#options.rules.decideOutcome(endpoint.id, kind);
    const found = this.#options.registry.get(endpoint.id);
    if (how === OrderOutcome.Silent) return Effect.never;
    const listener = this.#options.registry.listenerAt(endpoint);
    if (listener !== registries.Listener.Intended) {
      return this.#failDelivery(endpoint, listener);
    }
    if (how === OrderOutcome.Lost || found === undefined) return drop(endpoint);
    if (how === OrderOutcome.NoRoom) {
      const { NoCapacity } = Errors.OrderRefusal;
      return Effect.fail(incarnations.refuse(endpoint.id, NoCapacity));
    }
    if (how === OrderOutcome.Late) return this.#executeLate(order);
    return this.#execute(order, found, how === OrderOutcome.Delivered);
  }

  #execute<A>(
    { endpoint, work }: Order<A>,
    incarnation: incarnations.Incarnation,
    isAnswered: boolean,
  ): Delivery<A> {
    this.#options.advance(incarnation);
    try {
      const result = work(incarnation);
      const isDead = this.#options.registry.get(endpoint.id) === undefined;
      incarnation.hasAnswered ||= isAnswered;
      return isDead || !isAnswered ? drop(endpoint) : Effect.succeed(result);
    } catch (err) {
      return Effect.fail(err as Errors.OrderRefusedError);
    }
  }

  #executeLate<A>({ endpoint, work }: Order<A>): Delivery<A> {
    const { clock, registry, rules, advance } = this.#options;
    const later = Effect.sync(() => {
      // A later incarnation of the same id can't detect an order for an earlier one.
      // OrderTransit drops such an order instead, as the endpoint had buffered it.
      const current = registry.get(endpoint.id);
      if (current === undefined) return;
      advance(current);
      this.#isExecutingLate = true;
      try {
        work(current);
      } finally {
        this.#isExecutingLate = false;
      }
    });
    const order = Effect.andThen(clock.sleep(rules.lateMs), later);
    Effect.runFork(Effect.ignoreCause(order));
    return drop(endpoint);
  }

  /** Fails an order to an address at which its incarnation does not listen. */
  #failDelivery(
    endpoint: Ports.EndpointRef,
    listener: registries.Listener,
  ): Effect.Effect<never, Ports.OrderError> {
    const { Resets, Silent } = outcomes.DeadAddressOutcome;
    const { atDeadAddress } = this.#options.rules;
    if (atDeadAddress === Resets) return drop(endpoint, { cause: "reset" });
    if (listener === registries.Listener.Other) {
      return Effect.fail(
        new Errors.WorkerReplacedError({ worker: endpoint.id }),
      );
    }
    return atDeadAddress === Silent
      ? Effect.never
      : drop(endpoint, { cause: "connection refused", neverSent: true });
  }
}

function drop(
  { id: worker }: Ports.EndpointRef,
  { cause = "dropped by the test", neverSent = false } = {},
): Effect.Effect<never, Ports.OrderError> {
  return Effect.fail(new Errors.WorkerLostError({ worker, cause, neverSent }));
}
