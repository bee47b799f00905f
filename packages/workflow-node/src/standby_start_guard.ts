/**
 * Guards endpoints while there is no coordinator: an endpoint that restarts then would
 * execute a late start of a run that is over. The coordinator reports such starts, and
 * this box sends the stops once it hears nothing more from the coordinator. A stop of
 * a run that is over changes nothing else, so the guard needs no lease of its own.
 */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as requests from "./standby_guard_requests.ts";

/** Dependencies of {@link StandbyStartGuard}. */
export interface StandbyStartGuardOptions {
  readonly clock: Ports.Clock;
  readonly endpoints: Ports.TaskEndpoints;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** A call by which the coordinator reports revoked starts. */
export type GuardCall = Extract<
  Ports.StoreCall,
  { readonly kind: Ports.StoreCallKind.GuardStarts }
>;

/** A start to guard against. */
interface GuardedStart extends Ports.RevokedStart {
  readonly expiresAtMs: number;
}

/** Interval between stops of the same run, in ms. */
const STOP_INTERVAL_MS = 100;
/** Timeout for the answer to one stop, in ms. */
const STOP_LIMIT_MS = 450;
/** Time without a call after which the coordinator counts as lost, in ms. */
const COORDINATOR_SILENCE_MS = 2 * requests.REQUEST_INTERVAL_MS;

/** Sends the stops of revoked starts while the coordinator is silent. */
export class StandbyStartGuard {
  readonly #options: StandbyStartGuardOptions;
  #token = 0;
  #starts: readonly GuardedStart[] = [];
  #heardAtMs = Number.NEGATIVE_INFINITY;
  #isGuarding = false;
  /** Completes when there are starts to guard against. */
  #hasStarts = Deferred.makeUnsafe<void>();

  constructor(options: StandbyStartGuardOptions) {
    this.#options = options;
  }

  /** Handles a report of the coordinator. */
  accept({ fencingToken, starts }: GuardCall): Ports.StoreReply {
    const isKnown = fencingToken === this.#token;
    if (fencingToken < this.#token || (starts === null && !isKnown)) {
      const value = "it does not have these starts";
      return { outcome: Ports.StoreOutcome.Unavailable, value };
    }
    const nowMs = this.#options.clock.monotonicMs();
    this.#token = fencingToken;
    this.#heardAtMs = nowMs;
    if (starts !== null) {
      this.#starts = starts.map((start) => ({
        ...start,
        expiresAtMs: nowMs + start.expiresInMs,
      }));
    }
    if (this.#starts.length > 0) {
      Deferred.doneUnsafe(this.#hasStarts, Effect.void);
    }
    return { outcome: Ports.StoreOutcome.Done, value: null };
  }

  /** Sends stops while the coordinator is silent; never ends. */
  run(): Effect.Effect<never> {
    const { clock } = this.#options;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Deferred.await(this.#hasStarts);
      while (this.#starts.length > 0) {
        this.#sendStops();
        yield* clock.sleep(STOP_INTERVAL_MS);
      }
      this.#hasStarts = Deferred.makeUnsafe<void>();
    }));
  }

  #sendStops(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#starts = this.#starts.filter(({ expiresAtMs }) =>
      expiresAtMs > nowMs
    );
    const isSilent = nowMs - this.#heardAtMs > COORDINATOR_SILENCE_MS;
    const isGuarding = isSilent && this.#starts.length > 0;
    if (isGuarding && !this.#isGuarding) {
      this.#options.log.info(
        `The coordinator with token ${this.#token} is silent; this box sends the ` +
          `stops of ${this.#starts.length} starts that may be delivered late.`,
      );
    }
    this.#isGuarding = isGuarding;
    if (!isGuarding) return;
    for (const start of this.#starts) Effect.runFork(this.#stop(start));
  }

  #stop(start: GuardedStart): Effect.Effect<void> {
    const { clock, endpoints, metrics } = this.#options;
    const { endpoint, task, run } = start;
    const fencingToken = this.#token;
    metrics.count("cairngate_loose_start_stops_total");
    return endpoints.stop(endpoint, { task, run, fencingToken }).pipe(
      (stop) => clock.within(STOP_LIMIT_MS, stop),
      Effect.catch((err) =>
        Effect.sync(() => {
          // The next coordinator has called the endpoint, which refuses the start now.
          if (isFenced(err)) this.#remove(start);
        })
      ),
      Effect.asVoid,
    );
  }

  #remove(start: GuardedStart): void {
    this.#starts = this.#starts.filter((one) => one !== start);
  }
}

function isFenced(err: Ports.OrderError): boolean {
  return err._tag === "OrderRefusedError" &&
    err.reason === Errors.OrderRefusal.Fenced;
}
