/** What follows from the report of a start at one endpoint. */
import * as Effect from "effect/Effect";
import type * as endpointEnds from "./endpoint_ends.ts";
import * as endpointLooks from "./endpoint_look.ts";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as endpointStops from "./endpoint_stops.ts";
import * as occupants from "./occupant.ts";
import * as starters from "./run_starter.ts";
import * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";

const { LostCause, lost } = listeners;

/** What the reports work with. */
export interface StartReportsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly ends: endpointEnds.EndpointEnds;
  readonly stops: endpointStops.EndpointStops;
  readonly look: endpointLooks.EndpointLook;
}

/** Reports of one endpoint. */
export class StartReports {
  readonly #options: StartReportsOptions;

  constructor(options: StartReportsOptions) {
    this.#options = options;
  }

  /** Takes in the report of a run that is still waited for. */
  settle(
    occupant: occupants.Occupant,
    report: starters.StartReport,
  ): Effect.Effect<void> {
    const { state, runs, ends, stops, options } = this.#options;
    const { held, former } = runs;
    const nowMs = options.ports.clock.monotonicMs();
    // Its life has ended meanwhile; what became of it the present one shows.
    if (former.has(occupant)) return Effect.void;
    switch (report.outcome) {
      case starters.StartOutcome.Running:
        this.#confirm(occupant, report, nowMs);
        return Effect.void;
      case starters.StartOutcome.Earlier:
        occupant.knownSinceMs ??= nowMs;
        state.wake();
        return Effect.void;
      case starters.StartOutcome.Replaced:
        return ends.endAll();
      case starters.StartOutcome.ReplacedBefore:
        // No crash under this run: the life that it was meant for was over.
        return Effect.andThen(
          held.end(occupant, lost(LostCause.NeverSent)),
          ends.endAll(),
        );
      case starters.StartOutcome.Fenced:
        options.term.lose("a worker has seen a higher token");
        return Effect.void;
      case starters.StartOutcome.Refused:
        state.health.refused(nowMs);
        return this.#endRefused(occupant);
      case starters.StartOutcome.NotThere:
        state.health.failed(nowMs);
        return held.end(occupant, lost(LostCause.NeverSent));
      case starters.StartOutcome.MayBeThere:
        state.health.failed(nowMs);
        return stops.stop(occupant);
    }
  }

  #confirm(
    occupant: occupants.Occupant,
    { clockMs }: starters.StartReport,
    nowMs: number,
  ): void {
    const { state, options: { listener } } = this.#options;
    state.life.clock.read(clockMs ?? 0, nowMs);
    // A run that resumes from a checkpoint does not begin at nothing.
    if (clockMs !== null && occupant.task.checkpoint === "") {
      occupants.noteProgress(occupant, 0, { clockMs, nowMs });
    }
    occupant.knownSinceMs ??= nowMs;
    state.noteStarted();
    listener.runConfirmed(occupant);
  }

  /** The look tells what takes the room, and the endpoint's clock. */
  #endRefused(occupant: occupants.Occupant): Effect.Effect<void> {
    const { look, runs: { held } } = this.#options;
    return Effect.andThen(
      look.look(endpointLooks.AT_ONCE),
      Effect.suspend(() => held.end(occupant, lost(LostCause.Refused))),
    );
  }
}
