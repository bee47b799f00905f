/** Carries orders to endpoints of the stand-in, with the fates that tests choose. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as books from "./life_book.ts";
import * as fates from "./order_fate.ts";
import * as lives from "./worker_life.ts";

/** How long a late order is on its way, in ms. */
const LATE_MS = 2500;

/** What becomes of orders; tests may change it. */
export interface OrderRules {
  readonly carry: (worker: string, order: fates.OrderKind) => fates.OrderFate;
  readonly atDeadAddress: fates.DeadAddress;
  /** Time that each order takes on its way, in ms; 0: it is answered at once. */
  readonly wayMs: number;
}

/** What orders are carried with. */
export interface OrderCarrierOptions {
  readonly clock: Ports.Clock;
  readonly lives: books.LifeBook;
  readonly rules: OrderRules;
  /** Lets what has happened in a life since the last order happen. */
  readonly advance: (life: lives.WorkerLife) => void;
}

/** An order: what it does where it arrives. */
export interface Order<A> {
  readonly worker: Ports.EndpointRef;
  readonly kind: fates.OrderKind;
  readonly work: (life: lives.WorkerLife) => A;
}

type Carried<A> = Effect.Effect<A, Ports.OrderError>;

/** The orders of one test. */
export class OrderCarrier {
  readonly #options: OrderCarrierOptions;
  #isCarriedLate = false;

  constructor(options: OrderCarrierOptions) {
    this.#options = options;
  }

  /** While an order is carried out seconds after it was sent. */
  get isCarriedLate(): boolean {
    return this.#isCarriedLate;
  }

  /** Carries an order out, or lets happen to it what the test chooses. */
  carry<A>(order: Order<A>): Carried<A> {
    const { clock, rules } = this.#options;
    const carried = Effect.suspend(() => this.#arrive(order));
    return Effect.suspend(() =>
      rules.wayMs === 0
        ? carried
        : Effect.andThen(clock.sleep(rules.wayMs), carried)
    );
  }

  #arrive<A>(order: Order<A>): Carried<A> {
    const { worker, kind } = order;
    const { OrderFate } = fates;
    const fate = this.#options.rules.carry(worker.id, kind);
    const life = this.#options.lives.get(worker.id);
    if (fate === OrderFate.Silent) return Effect.never;
    const listener = this.#options.lives.listenerAt(worker);
    if (listener !== books.Listener.Meant) {
      return this.#meetDead(worker, listener);
    }
    if (fate === OrderFate.Lost || life === undefined) return lose(worker);
    if (fate === OrderFate.NoRoom) {
      const { NoCapacity } = Errors.OrderRefusal;
      return Effect.fail(lives.refuse(worker.id, NoCapacity));
    }
    if (fate === OrderFate.Late) return this.#carryLate(order);
    return this.#carryOut(order, life, fate === OrderFate.Carried);
  }

  #carryOut<A>(
    { worker, work }: Order<A>,
    life: lives.WorkerLife,
    isAnswered: boolean,
  ): Carried<A> {
    this.#options.advance(life);
    try {
      const result = work(life);
      const isDead = this.#options.lives.get(worker.id) === undefined;
      life.wasCalled ||= isAnswered;
      return isDead || !isAnswered ? lose(worker) : Effect.succeed(result);
    } catch (err) {
      return Effect.fail(err as Errors.OrderRefusedError);
    }
  }

  #carryLate<A>({ worker, work }: Order<A>): Carried<A> {
    const { clock, lives: book, advance } = this.#options;
    const later = Effect.sync(() => {
      // Perhaps another life has begun under the id: it can't tell.
      const there = book.get(worker.id);
      if (there === undefined) return;
      advance(there);
      this.#isCarriedLate = true;
      try {
        work(there);
      } finally {
        this.#isCarriedLate = false;
      }
    });
    const order = Effect.andThen(clock.sleep(LATE_MS), later);
    Effect.runFork(Effect.ignoreCause(order));
    return lose(worker);
  }

  /** An order arrives where its life has ended, or has never been. */
  #meetDead(
    worker: Ports.EndpointRef,
    listener: books.Listener,
  ): Effect.Effect<never, Ports.OrderError> {
    const { Resets, Silent } = fates.DeadAddress;
    const { atDeadAddress } = this.#options.rules;
    if (atDeadAddress === Resets) return lose(worker, { cause: "reset" });
    if (listener === books.Listener.Another) {
      return Effect.fail(new Errors.WorkerReplacedError({ worker: worker.id }));
    }
    return atDeadAddress === Silent
      ? Effect.never
      : lose(worker, { cause: "connection refused", neverSent: true });
  }
}

function lose(
  { id: worker }: Ports.EndpointRef,
  { cause = "lost by the test", neverSent = false } = {},
): Effect.Effect<never, Ports.OrderError> {
  return Effect.fail(new Errors.WorkerLostError({ worker, cause, neverSent }));
}
