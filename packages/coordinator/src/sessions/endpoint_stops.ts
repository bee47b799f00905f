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
}

interface StopOrder extends Ports.RunRef {
  readonly fencingToken: number;
}

/** An order without an answer counts as lost after this time, in ms. */
const ORDER_LIMIT_MS = 450;
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
          return;
        }
        yield* clock.sleep(endpointOrders.RETRY_MS);
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
