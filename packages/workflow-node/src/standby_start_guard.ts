/**
 * Guards endpoints while there is no coordinator: an endpoint that restarts then would
 * execute a late start of a run that is over. The coordinator reports such starts, and
 * this box sends the stops once it hears nothing more from the coordinator, until it
 * has handed the starts over to the next one. A stop of a run that is over changes
 * nothing else, so the guard needs no lease of its own.
 */
import * as Coordinator from "@cairngate/coordinator";
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
  /** Fencing token of the newest term that this box knows of. */
  readonly currentToken: () => number;
  /** Hands starts over to the coordinator with this token; returns whether it did. */
  readonly handOver: (
    fencingToken: number,
    starts: readonly Ports.RevokedStart[],
  ) => Effect.Effect<boolean>;
}

/** A call by which the coordinator reports revoked starts. */
export type GuardCall = Extract<
  Ports.StoreCall,
  { readonly kind: Ports.StoreCallKind.GuardStarts }
>;

/** A start to guard against. */
interface GuardedStart extends Ports.RunRef {
  readonly endpoint: Ports.EndpointRef;
  readonly expiresAtMs: number;
  /** Fencing token of the newest coordinator that is known to have this start. */
  knownToToken: number;
  /** Whether this box has told that coordinator, which chooses its own guards. */
  isHandedOver: boolean;
}

/** Interval of checks while no stops are sent, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Time without a call after which the coordinator counts as lost, in ms. */
const COORDINATOR_SILENCE_MS = 2 * requests.REQUEST_INTERVAL_MS;

/**
 * Sends the stops of revoked starts while the coordinator is silent, and hands these
 * starts over to each later coordinator.
 */
export class StandbyStartGuard {
  readonly #options: StandbyStartGuardOptions;
  readonly #retrySlots = new Coordinator.StopRetrySlots();
  #token = 0;
  #starts: readonly GuardedStart[] = [];
  #heardAtMs = Number.NEGATIVE_INFINITY;
  #isGuarding = false;
  #isHandingOver = false;
  /** Completes when there are starts to guard against. */
  #hasStarts = Deferred.makeUnsafe<void>();

  constructor(options: StandbyStartGuardOptions) {
    this.#options = options;
  }

  /**
   * Handles a report of the coordinator. Its starts replace those of its earlier
   * reports; starts of earlier coordinators are kept, as it may not know them.
   */
  accept({ fencingToken, starts }: GuardCall): Ports.StoreReply {
    const isKnown = fencingToken === this.#token;
    if (fencingToken < this.#token || (starts === null && !isKnown)) {
      const value = "it does not have these starts";
      return { outcome: Ports.StoreOutcome.Unavailable, value };
    }
    const nowMs = this.#options.clock.monotonicMs();
    this.#token = fencingToken;
    this.#heardAtMs = nowMs;
    if (starts !== null) this.#replaceReported(starts, nowMs);
    if (this.#starts.length > 0) {
      Deferred.doneUnsafe(this.#hasStarts, Effect.void);
    }
    return { outcome: Ports.StoreOutcome.Done, value: null };
  }

  #replaceReported(
    starts: readonly Ports.RevokedStart[],
    nowMs: number,
  ): void {
    const reported = starts.map(({ expiresInMs, ...start }) => ({
      ...start,
      expiresAtMs: nowMs + expiresInMs,
      knownToToken: this.#token,
      isHandedOver: false,
    }));
    const names = new Set(reported.map(nameOf));
    const others = this.#starts.filter((start) =>
      !names.has(nameOf(start)) &&
      (start.knownToToken < this.#token || start.isHandedOver)
    );
    this.#starts = [...others, ...reported];
  }

  /** Sends stops and hands starts over while there are any; never ends. */
  run(): Effect.Effect<never> {
    const { clock } = this.#options;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Deferred.await(this.#hasStarts);
      while (this.#starts.length > 0) {
        this.#removeExpired();
        Effect.runFork(this.handOver());
        const guarded = this.#findGuarded();
        yield* guarded.length === 0
          ? clock.sleep(CHECK_INTERVAL_MS)
          : this.#sendStops(guarded);
      }
      this.#hasStarts = Deferred.makeUnsafe<void>();
    }));
  }

  #removeExpired(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#starts = this.#starts.filter(({ expiresAtMs }) =>
      expiresAtMs > nowMs
    );
  }

  /** Hands starts over to the newest coordinator if it may not know them. */
  handOver(): Effect.Effect<void> {
    const { clock, currentToken, handOver } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const token = currentToken();
      const pending = this.#starts.filter(({ knownToToken }) =>
        knownToToken < token
      );
      if (this.#isHandingOver || pending.length === 0) return;
      this.#isHandingOver = true;
      const nowMs = clock.monotonicMs();
      const starts = pending.map(({ endpoint, task, run, expiresAtMs }) => {
        const expiresInMs = expiresAtMs - nowMs;
        return { endpoint, task, run, expiresInMs };
      });
      const isDone = yield* Effect.ensuring(
        handOver(token, starts),
        Effect.sync(() => {
          this.#isHandingOver = false;
        }),
      );
      if (!isDone) return;
      for (const start of pending) {
        start.knownToToken = Math.max(start.knownToToken, token);
        start.isHandedOver = true;
      }
    });
  }

  /** Starts whose stops this box sends, as the coordinator may not. */
  #findGuarded(): readonly GuardedStart[] {
    const nowMs = this.#options.clock.monotonicMs();
    const isSilent = nowMs - this.#heardAtMs > COORDINATOR_SILENCE_MS;
    // A later coordinator that calls may not know the starts of an earlier one.
    const guarded = this.#starts.filter(({ knownToToken, isHandedOver }) =>
      !isHandedOver && (isSilent || knownToToken < this.#token)
    );
    const isGuarding = guarded.length > 0;
    if (isGuarding && !this.#isGuarding) {
      this.#options.log.info(
        `The coordinator with token ${this.#token} is silent; this box sends the ` +
          `stops of ${guarded.length} starts that may be delivered late.`,
      );
    }
    this.#isGuarding = isGuarding;
    return guarded;
  }

  #sendStops(guarded: readonly GuardedStart[]): Effect.Effect<void> {
    const { clock, endpoints, metrics } = this.#options;
    const byId = new Map(
      guarded.map(({ endpoint }) => [endpoint.id, endpoint]),
    );
    const rounds = [...byId.values()].map((endpoint) =>
      Coordinator.stopLateStarts({
        clock,
        endpoints,
        metrics,
        endpoint,
        fencingToken: this.#token,
        runs: guarded.filter((start) => start.endpoint.id === endpoint.id),
        isNeeded: () => true,
        retrySlots: this.#retrySlots,
      })
    );
    return Effect.all(rounds, { concurrency: "unbounded", discard: true });
  }
}

function nameOf({ endpoint, task, run }: GuardedStart): string {
  return `${endpoint.id} ${task}@${run}`;
}
