/** Stops runs at one endpoint, including runs whose start may still be delivered. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as endpointOrders from "./endpoint_orders.ts";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as assignments from "./assignment.ts";
import type * as sessionOptions from "./session_options.ts";
import * as unexpectedRuns from "./unexpected_runs.ts";

/** Dependencies of the stops. */
export interface EndpointStopsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly orders: endpointOrders.EndpointOrders;
  /** Sends one more poll beside the one that may be open. */
  readonly pollNow: () => Effect.Effect<void>;
}

interface StopOrder extends Ports.RunRef {
  readonly fencingToken: number;
}

/** Time in ms after which an order without an answer counts as lost. */
const ORDER_LIMIT_MS = 450;
/**
 * Maximum time in ms after which a waiting poll reports an end; the delay of this box
 * comes on top.
 */
const END_REPORT_DELAY_MS = 100;
/**
 * Number of polls beside one that hangs, and the time between them in ms. After
 * these, the hanging one has ended.
 */
const MAX_END_POLLS = 3;
const END_POLL_INTERVAL_MS = 300;
/** Attempts to stop an untracked run: 12 s in total, as late as starts may be. */
const MAX_BLOCK_ATTEMPTS = 20;

/** Stops runs at one endpoint. */
export class EndpointStops {
  readonly #options: EndpointStopsOptions;

  constructor(options: EndpointStopsOptions) {
    this.#options = options;
  }

  /** Stops a run; completes when the endpoint has confirmed it or the run is over. */
  stop(assignment: assignments.Assignment): Effect.Effect<void> {
    const { state, runs, options } = this.#options;
    const { tracked } = runs;
    const { clock } = options.ports;
    return Effect.gen({ self: this }, function* () {
      assignment.stoppingSinceMs ??= clock.monotonicMs();
      runs.noteRevocation();
      const { task: { name: task }, run } = assignment;
      const order = this.#orderOf({ task, run });
      while (tracked.holds(assignment) && !state.isOver && assignment.isSent) {
        if ((yield* this.#send(order)) !== null) {
          assignment.expectedSinceMs ??= clock.monotonicMs();
          state.wake();
          Effect.runFork(this.#pollForEnd(assignment));
          return;
        }
        yield* clock.sleep(endpointOrders.RETRY_DELAY_MS);
      }
    });
  }

  /** Polls for the end of a stopped run if it is overdue: the open poll may hang. */
  #pollForEnd(assignment: assignments.Assignment): Effect.Effect<void> {
    const { state, runs: { tracked }, options, pollNow } = this.#options;
    const { load, ports: { clock, metrics, bounds } } = options;
    return Effect.gen({ self: this }, function* () {
      yield* clock.sleep(load.extendLimit(bounds.stopMs + END_REPORT_DELAY_MS));
      for (let polls = 0; polls < MAX_END_POLLS; polls++) {
        if (!tracked.holds(assignment) || state.isOver) return;
        metrics.count("cairngate_ends_asked_for_total");
        yield* pollNow();
        yield* clock.sleep(END_POLL_INTERVAL_MS);
      }
    });
  }

  /**
   * Prevents a start that may still be delivered: an endpoint never starts a run that
   * it was told to stop before. A later poll shows its end.
   */
  blockStart(assignment: assignments.Assignment): void {
    assignment.expectedSinceMs = null;
    Effect.runFork(this.stop(assignment));
  }

  /** Prevents the start of a run that is not tracked any more. */
  blockRun(run: Ports.RunRef): void {
    const { state, options: { ports: { clock } } } = this.#options;
    const { bornMs } = state.incarnation;
    const order = this.#orderOf(run);
    const sendStops = Effect.gen({ self: this }, function* () {
      for (let attempts = 0; attempts < MAX_BLOCK_ATTEMPTS; attempts++) {
        if (state.isOver || state.incarnation.bornMs !== bornMs) return;
        if ((yield* this.#send(order)) !== null) return;
        yield* clock.sleep(endpointOrders.RETRY_DELAY_MS);
      }
    });
    Effect.runFork(sendStops);
  }

  /** Stops a run that is not expected at this endpoint. */
  stopUnexpected(run: Ports.RunRef): void {
    const { state, options: { ports: { log } } } = this.#options;
    const name = unexpectedRuns.runName(run);
    log.warn(`Endpoint ${state.ref.id} runs ${name}, which nobody expects.`);
    Effect.runFork(this.#send(this.#orderOf(run)));
  }

  #orderOf({ task, run }: Ports.RunRef): StopOrder {
    return { task, run, fencingToken: this.#options.options.term.token };
  }

  #send(order: StopOrder): Effect.Effect<unknown> {
    const { state: { ref }, orders, options } = this.#options;
    const { endpoints } = options.ports;
    return orders.call(endpoints.stop(ref, order), ORDER_LIMIT_MS);
  }
}
