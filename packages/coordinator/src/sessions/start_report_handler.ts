/** Handles the outcomes of starts at one endpoint. */
import * as Effect from "effect/Effect";
import type * as endpointEnds from "./endpoint_ends.ts";
import * as pollers from "./endpoint_poller.ts";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as endpointStops from "./endpoint_stops.ts";
import * as assignments from "./assignment.ts";
import * as starters from "./run_starter.ts";
import * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";

const { LostCause, lost } = listeners;

/** Dependencies of the handler. */
export interface StartReportHandlerOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly ends: endpointEnds.EndpointEnds;
  readonly stops: endpointStops.EndpointStops;
  readonly poller: pollers.EndpointPoller;
}

/** Handles start reports of one endpoint. */
export class StartReportHandler {
  readonly #options: StartReportHandlerOptions;

  constructor(options: StartReportHandlerOptions) {
    this.#options = options;
  }

  /** Handles the report of a run that is still tracked. */
  handle(
    assignment: assignments.Assignment,
    report: starters.StartReport,
  ): Effect.Effect<void> {
    const { state, runs, ends, stops, options } = this.#options;
    const { tracked, previous } = runs;
    const nowMs = options.ports.clock.monotonicMs();
    // Its incarnation has ended; the current one shows whether it has the run.
    if (previous.has(assignment)) return Effect.void;
    switch (report.outcome) {
      case starters.StartOutcome.Running:
        this.#confirm(assignment, report, nowMs);
        return Effect.void;
      case starters.StartOutcome.AlreadyHandled:
        assignment.expectedSinceMs ??= nowMs;
        state.wake();
        return Effect.void;
      case starters.StartOutcome.Replaced:
        return ends.endAll();
      case starters.StartOutcome.ReplacedBefore:
        // No crash under this run: the incarnation it was sent to had ended before.
        return Effect.andThen(
          tracked.end(assignment, lost(LostCause.NeverSent)),
          ends.endAll(),
        );
      case starters.StartOutcome.Fenced:
        options.term.lose("an endpoint has received a higher fencing token");
        return Effect.void;
      case starters.StartOutcome.Refused:
        state.health.noteRefusal(nowMs);
        return this.#endRefused(assignment);
      case starters.StartOutcome.InvalidTicket:
        return tracked.end(assignment, lost(LostCause.InvalidTicket));
      case starters.StartOutcome.Withheld:
        return tracked.end(assignment, lost(LostCause.NeverSent));
      case starters.StartOutcome.NotDelivered:
        state.health.noteFailure(nowMs);
        return tracked.end(assignment, lost(LostCause.NeverSent));
      case starters.StartOutcome.MayBeDelivered:
        state.health.noteFailure(nowMs);
        return stops.stop(assignment);
    }
  }

  #confirm(
    assignment: assignments.Assignment,
    { clockMs }: starters.StartReport,
    nowMs: number,
  ): void {
    const { state, options: { listener } } = this.#options;
    state.incarnation.clock.read(clockMs ?? 0, nowMs);
    // A run that resumes from a checkpoint does not begin at 0 %.
    if (clockMs !== null && assignment.task.checkpoint === "") {
      assignments.noteProgress(assignment, 0, { clockMs, nowMs });
    }
    assignment.expectedSinceMs ??= nowMs;
    state.noteStartAccepted();
    listener.runConfirmed(assignment);
  }

  /** Ends a refused run after a poll, which reads the runs there and the clock. */
  #endRefused(assignment: assignments.Assignment): Effect.Effect<void> {
    const { poller, runs: { tracked } } = this.#options;
    return Effect.andThen(
      poller.poll(pollers.NO_WAIT_MS),
      Effect.suspend(() => tracked.end(assignment, lost(LostCause.Refused))),
    );
  }
}
