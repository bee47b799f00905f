/**
 * Prevents a restarted endpoint from accepting late starts. A start without an answer
 * may be delivered seconds later, and an endpoint that restarts meanwhile under its
 * id has no record of the stop that followed. While the endpoint does not answer, the
 * stops are sent repeatedly, because it may have restarted at any moment.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as sessionOptions from "./session_options.ts";
import * as unansweredStarts from "./unanswered_starts.ts";
import * as unexpectedRuns from "./unexpected_runs.ts";

/** Dependencies of the guard. */
export interface LateStartGuardOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
}

/** Interval between stops of the same run, in ms. */
const STOP_INTERVAL_MS = 100;
/** Timeout for the answer to one stop, in ms. */
const STOP_LIMIT_MS = 450;

/** Sends the stops of unanswered starts to one endpoint while it does not answer. */
export class LateStartGuard {
  readonly #options: LateStartGuardOptions;
  #isSendingStops = false;

  constructor(options: LateStartGuardOptions) {
    this.#options = options;
  }

  /**
   * Whether an unanswered start may still be delivered after a restart. One that
   * reports no birth time gets a new id with each restart and refuses such a start.
   */
  get hasUnansweredStarts(): boolean {
    const { state, runs } = this.#options;
    return state.incarnation.likelyBornMs !== null &&
      runs.unansweredStarts.all.length > 0;
  }

  /** Unanswered starts of runs that are over, for other boxes to guard against. */
  get revokedStarts(): readonly Ports.RevokedStart[] {
    const { state: { ref: endpoint }, runs, options } = this.#options;
    if (runs.unansweredStarts.isEmpty || !this.hasUnansweredStarts) return [];
    const nowMs = options.ports.clock.monotonicMs();
    return this.#unwantedStarts.map(({ task, run, sentAtMs }) => {
      const ageMs = nowMs - sentAtMs;
      const expiresInMs = unansweredStarts.LONGEST_ORDER_DELAY_MS - ageMs;
      return { endpoint, task, run, expiresInMs };
    });
  }

  /** Sends stops until the endpoint answers. */
  beginStops(): void {
    const { state, options: { ports: { clock } } } = this.#options;
    if (this.#isSendingStops || !this.hasUnansweredStarts) return;
    this.#isSendingStops = true;
    const sendStops = Effect.gen({ self: this }, function* () {
      while (!state.isOver && !state.isReachable && this.hasUnansweredStarts) {
        for (const run of this.#unwantedStarts) Effect.runFork(this.#stop(run));
        yield* clock.sleep(STOP_INTERVAL_MS);
      }
    });
    const end = Effect.sync(() => {
      this.#isSendingStops = false;
    });
    Effect.runFork(Effect.ensuring(sendStops, end));
  }

  /** Unanswered starts, except those of wanted runs, which the endpoint may execute. */
  get #unwantedStarts(): readonly unansweredStarts.UnansweredStart[] {
    const { runs } = this.#options;
    const wanted = new Set(
      runs.tracked.all.filter(({ stoppingSinceMs }) => stoppingSinceMs === null)
        .map(({ task: { name: task }, run }) =>
          unexpectedRuns.runName({ task, run })
        ),
    );
    return runs.unansweredStarts.all.filter((run) =>
      !wanted.has(unexpectedRuns.runName(run))
    );
  }

  /** Ignores the outcome: the next poll reports the state of the endpoint. */
  #stop({ task, run }: Ports.RunRef): Effect.Effect<void> {
    const { ports: { clock, endpoints, metrics }, term, ref } =
      this.#options.options;
    const order = { task, run, fencingToken: term.token };
    metrics.count("cairngate_loose_start_stops_total");
    return Effect.ignore(
      clock.within(STOP_LIMIT_MS, endpoints.stop(ref, order)),
    );
  }
}
