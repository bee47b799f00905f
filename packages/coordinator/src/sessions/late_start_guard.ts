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
import * as lateStartStops from "./late_start_stops.ts";
import * as unansweredStarts from "./unanswered_starts.ts";
import * as unexpectedRuns from "./unexpected_runs.ts";

/** Dependencies of the guard. */
export interface LateStartGuardOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
}

/** Time between checks while all unanswered starts are of wanted runs, in ms. */
const EMPTY_ROUND_MS = 100;

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
    const { state, options } = this.#options;
    const { ports: { clock, endpoints, metrics }, term, ref: endpoint } =
      options;
    const isNeeded = () => !state.isOver && !state.isReachable;
    if (this.#isSendingStops || !this.hasUnansweredStarts) return;
    this.#isSendingStops = true;
    const sendStops = Effect.gen({ self: this }, function* () {
      while (isNeeded() && this.hasUnansweredStarts) {
        const runs = this.#unwantedStarts;
        yield* runs.length === 0
          ? clock.sleep(EMPTY_ROUND_MS)
          : lateStartStops.stopLateStarts({
            clock,
            endpoints,
            metrics,
            endpoint,
            fencingToken: term.token,
            runs,
            isNeeded,
            retrySlots: options.stopRetrySlots,
          });
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
}
