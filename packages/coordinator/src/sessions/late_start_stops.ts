/**
 * Sends the stops of starts that may be delivered late to an endpoint that may have
 * restarted. Between its return and the first stop it executes such a start, so an
 * endpoint that refuses connections is tried more often.
 */
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Dependencies and parameters of a round of stops. */
export interface StopRound {
  readonly clock: Ports.Clock;
  readonly endpoints: Ports.TaskEndpoints;
  readonly metrics: Metrics.Metrics;
  readonly endpoint: Ports.EndpointRef;
  readonly fencingToken: number;
  /** Runs to stop; at least one. */
  readonly runs: readonly Ports.RunRef[];
  /** Whether the stops are still needed. */
  readonly isNeeded: () => boolean;
  /** Shared by all rounds of this box. */
  readonly retrySlots: StopRetrySlots;
}

/** Interval between rounds, in ms. */
const ROUND_MS = 100;
/** Interval between attempts while the endpoint refuses connections, in ms. */
const REFUSED_INTERVAL_MS = 20;
/** Timeout for the answer to one stop, in ms. */
const STOP_LIMIT_MS = 450;
/** Endpoints that are tried more often at once; each attempt takes processor time. */
const MAX_RETRIED_ENDPOINTS = 4;

/** Limits the number of endpoints that are tried more often at once. */
export class StopRetrySlots {
  #used = 0;

  /** Takes a slot; returns false if all are in use. */
  take(): boolean {
    if (this.#used >= MAX_RETRIED_ENDPOINTS) return false;
    this.#used++;
    return true;
  }

  /** Returns a slot. */
  release(): void {
    this.#used--;
  }
}

/**
 * Sends all stops, then waits for the next round. While connections are refused, one
 * stop is sent again and again; the others follow once it is not refused.
 */
export function stopLateStarts(round: StopRound): Effect.Effect<void> {
  const { clock, runs: [first, ...others], isNeeded, retrySlots } = round;
  let isRefused = false;
  let isTrying = false;
  const sendAll = (runs: readonly Ports.RunRef[]) => {
    for (const run of runs) {
      Effect.runFork(Effect.map(sendStop(round, run), (wasRefused) => {
        isRefused = wasRefused;
      }));
    }
  };
  const tryAgain = Effect.gen(function* () {
    isTrying = true;
    isRefused = yield* sendStop(round, first);
    isTrying = false;
    if (!isRefused) sendAll(others);
  });
  const retry = Effect.gen(function* () {
    const times = ROUND_MS / REFUSED_INTERVAL_MS - 1;
    for (let i = 0; i < times; i++) {
      if (isRefused && !isTrying && isNeeded()) Effect.runFork(tryAgain);
      yield* clock.sleep(REFUSED_INTERVAL_MS);
    }
  });
  return Effect.gen(function* () {
    sendAll([first, ...others]);
    yield* clock.sleep(REFUSED_INTERVAL_MS);
    if (!isRefused || !retrySlots.take()) {
      return yield* clock.sleep(ROUND_MS - REFUSED_INTERVAL_MS);
    }
    yield* Effect.ensuring(retry, Effect.sync(() => retrySlots.release()));
  });
}

/**
 * Sends one stop; returns whether the connection was refused. Other outcomes do not
 * matter: the endpoint may restart after each answer.
 */
function sendStop(
  { clock, endpoints, metrics, endpoint, fencingToken }: StopRound,
  { task, run }: Ports.RunRef,
): Effect.Effect<boolean> {
  metrics.count("cairngate_loose_start_stops_total");
  const stop = endpoints.stop(endpoint, { task, run, fencingToken });
  return Effect.match(clock.within(STOP_LIMIT_MS, stop), {
    onSuccess: () => false,
    onFailure: (err) => err._tag === "WorkerLostError" && err.neverSent,
  });
}
