/**
 * Runs of one endpoint by their status: tracked, over without a reported end, started
 * without an answer, of previous incarnations, and reported although they were
 * presumed ended.
 */
import type * as Ports from "@cairngate/ports";
import type * as endpointStates from "./endpoint_state.ts";
import * as listeners from "./session_listener.ts";
import * as previousRuns from "./previous_runs.ts";
import * as trackedRuns from "./tracked_runs.ts";
import type * as unansweredStarts from "./unanswered_starts.ts";
import * as assignments from "./assignment.ts";
import * as prematureEnds from "./premature_ends.ts";
import type * as sessionOptions from "./session_options.ts";
import * as unreportedRuns from "./unreported_runs.ts";

/** Dependencies of the runs. */
export interface EndpointRunsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  /** Orders the current incarnation to stop a run that is still tracked. */
  readonly blockStart: (assignment: assignments.Assignment) => void;
  /** Orders the current incarnation to stop a run that is not tracked any more. */
  readonly blockRun: (run: Ports.RunRef) => void;
}

/** Runs of one endpoint. */
export class EndpointRuns {
  readonly #options: EndpointRunsOptions;
  /** Runs that the endpoint holds or may hold. */
  readonly tracked: trackedRuns.TrackedRuns;
  /** Runs that are over and whose ends the endpoint has not reported. */
  readonly unreported = new unreportedRuns.UnreportedRuns();
  /** Starts without an answer. */
  readonly unansweredStarts: unansweredStarts.UnansweredStarts;
  /** Runs of previous incarnations. */
  readonly previous: previousRuns.PreviousRuns;
  /** Runs that the endpoint may still report although they are presumed ended. */
  readonly prematureEnds: prematureEnds.PrematureEnds;

  constructor(runsOptions: EndpointRunsOptions) {
    this.#options = runsOptions;
    const { options, state, blockStart, blockRun } = runsOptions;
    const { listener, ports: { clock, log, metrics } } = options;
    const endpoint = options.ref.id;
    this.prematureEnds = new prematureEnds.PrematureEnds({
      clock,
      log,
      metrics,
      endpoint,
    });
    this.unansweredStarts = options.unansweredStarts;
    this.tracked = new trackedRuns.TrackedRuns((assignment, end) => {
      this.prematureEnds.noteEnd(assignment, end);
      this.#keepEarlierStart(assignment, end);
      this.noteRevocation();
      return listener.runEnded(state, assignment, end);
    });
    this.previous = new previousRuns.PreviousRuns({
      clock,
      tracked: this.tracked,
      unreported: this.unreported,
      unansweredStarts: this.unansweredStarts,
      blockStart,
      blockRun,
    });
  }

  /**
   * Reports that a run is not wanted any more, if a start may still be delivered to the
   * next incarnation. An endpoint that reports no birth time refuses it there.
   */
  noteRevocation(): void {
    const { state, options } = this.#options;
    if (this.unansweredStarts.isEmpty) return;
    if (state.incarnation.likelyBornMs === null) return;
    options.ports.onStartsRevoked();
  }

  /**
   * Keeps the start of a run that an earlier coordinator sent and that the endpoint,
   * which answers, has not reported: it may be delivered to the next incarnation.
   */
  #keepEarlierStart(
    assignment: assignments.Assignment,
    { cause }: listeners.RunEndReport,
  ): void {
    const { isSent, sentAtMs, task: { name: task }, run } = assignment;
    const isEarlier = isSent && sentAtMs === null;
    const wasReported = assignments.isConfirmed(assignment);
    if (!isEarlier || wasReported || cause !== listeners.LostCause.NotHeld) {
      return;
    }
    const { previousOrdersUntilMs } = this.#options.state;
    this.unansweredStarts.add({ task, run }, previousOrdersUntilMs);
  }
}
