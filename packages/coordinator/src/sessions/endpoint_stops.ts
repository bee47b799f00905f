/** Stops runs at one endpoint, also those whose starts may still arrive there. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as endpointOrders from "./endpoint_orders.ts";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as occupants from "./occupant.ts";
import type * as sessionOptions from "./session_options.ts";
import * as strays from "./stray_runs.ts";

/** What the stops work with. */
export interface EndpointStopsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly orders: endpointOrders.EndpointOrders;
  /** One more look beside the one that may be open. */
  readonly ask: () => Effect.Effect<void>;
}

interface StopOrder extends Ports.RunRef {
  readonly fencingToken: number;
}

/** An order without an answer counts as lost after this time, in ms. */
const ORDER_LIMIT_MS = 450;
/**
 * The look that waits at the endpoint tells an end this much later than it came at
 * most, in ms; our own delay comes on top.
 */
const TOLD_WITHIN_MS = 100;
/** Looks beside one that hangs, and the time between them in ms: it ends by then. */
const ASKS = 3;
const ASK_AGAIN_MS = 300;
/** Tries of a stop that nobody waits for: 12 s of them, as late as starts arrive. */
const SEAL_TRIES = 20;

/** Stops at one endpoint. */
export class EndpointStops {
  readonly #options: EndpointStopsOptions;

  constructor(options: EndpointStopsOptions) {
    this.#options = options;
  }

  /** Stops a run; ends when the endpoint has heard it or the run is over. */
  stop(occupant: occupants.Occupant): Effect.Effect<void> {
    const { state, runs: { held }, options } = this.#options;
    const { clock } = options.ports;
    return Effect.gen({ self: this }, function* () {
      occupant.stoppingSinceMs ??= clock.monotonicMs();
      const { task: { name: task }, run } = occupant;
      const order = this.#orderOf({ task, run });
      while (held.holds(occupant) && !state.isOver && occupant.sent) {
        if ((yield* this.#send(order)) !== null) {
          occupant.knownSinceMs ??= clock.monotonicMs();
          state.wake();
          Effect.runFork(this.#learnEnd(occupant));
          return;
        }
        yield* clock.sleep(endpointOrders.RETRY_MS);
      }
    });
  }

  /** Asks for the end of a stopped run that is not told in time: the look may hang. */
  #learnEnd(occupant: occupants.Occupant): Effect.Effect<void> {
    const { state, runs: { held }, options, ask } = this.#options;
    const { load, ports: { clock, metrics, bounds } } = options;
    return Effect.gen({ self: this }, function* () {
      yield* clock.sleep(load.allow(bounds.stopMs + TOLD_WITHIN_MS));
      for (let asked = 0; asked < ASKS; asked++) {
        if (!held.holds(occupant) || state.isOver) return;
        metrics.count("cairngate_ends_asked_for_total");
        yield* ask();
        yield* clock.sleep(ASK_AGAIN_MS);
      }
    });
  }

  /** What is stopped before it arrives never starts; a look then shows its end. */
  seal(occupant: occupants.Occupant): void {
    occupant.knownSinceMs = null;
    Effect.runFork(this.stop(occupant));
  }

  /** The same for a run that nobody waits for. */
  sealLoose(run: Ports.RunRef): void {
    const { state, options: { ports: { clock } } } = this.#options;
    const { bornMs } = state.life;
    const order = this.#orderOf(run);
    const seal = Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < SEAL_TRIES; tries++) {
        if (state.isOver || state.life.bornMs !== bornMs) return;
        if ((yield* this.#send(order)) !== null) return;
        yield* clock.sleep(endpointOrders.RETRY_MS);
      }
    });
    Effect.runFork(seal);
  }

  /** Stops a run that nobody expects there. */
  stopStray(run: Ports.RunRef): void {
    const { state, options: { ports: { log } } } = this.#options;
    const name = strays.nameOf(run);
    log.warn(`Worker ${state.ref.id} runs ${name}, which nobody expects.`);
    Effect.runFork(this.#send(this.#orderOf(run)));
  }

  #orderOf({ task, run }: Ports.RunRef): StopOrder {
    return { task, run, fencingToken: this.#options.options.term.token };
  }

  #send(order: StopOrder): Effect.Effect<unknown> {
    const { state: { ref }, orders, options } = this.#options;
    const { workers } = options.ports;
    return orders.call(workers.stop(ref, order), ORDER_LIMIT_MS);
  }
}
