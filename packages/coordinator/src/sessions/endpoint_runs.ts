/**
 * Runs that have to do with one endpoint, each kind in its own book: held there, over
 * without a word of their end, sent without an answer, of former lives, and shown
 * although they had counted as over.
 */
import type * as Ports from "@cairngate/ports";
import type * as endpointStates from "./endpoint_state.ts";
import * as previousRuns from "./former_runs.ts";
import * as trackedRuns from "./held_runs.ts";
import type * as unansweredStarts from "./loose_starts.ts";
import type * as assignments from "./occupant.ts";
import * as prematureEnds from "./outlived_runs.ts";
import type * as sessionOptions from "./session_options.ts";
import * as unreportedRuns from "./unheard_runs.ts";

/** What the books work with. */
export interface EndpointRunsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  /** Tells the present life to stop a run that is still waited for. */
  readonly blockStart: (assignment: assignments.Occupant) => void;
  /** The same for a run that nobody waits for. */
  readonly blockRun: (run: Ports.RunRef) => void;
}

/** Those of one endpoint. */
export class EndpointRuns {
  /** Runs that it holds or may hold. */
  readonly tracked: trackedRuns.TrackedRuns;
  /** Runs that are over, and whose ends it has not told. */
  readonly unreported = new unreportedRuns.UnreportedRuns();
  /** Starts that had no answer. */
  readonly unansweredStarts: unansweredStarts.LooseStarts;
  /** Runs that former lives had. */
  readonly previous: previousRuns.PreviousRuns;
  /** Runs that it may show although they count as over. */
  readonly prematureEnds: prematureEnds.PrematureEnds;

  constructor(
    { options, state, blockStart, blockRun: blockRun }: EndpointRunsOptions,
  ) {
    const { listener, ports: { clock, log, metrics } } = options;
    const endpoint = options.ref.id;
    this.prematureEnds = new prematureEnds.PrematureEnds({
      clock,
      log,
      metrics,
      endpoint,
    });
    this.tracked = new trackedRuns.TrackedRuns((assignment, end) => {
      this.prematureEnds.noteEnd(assignment, end);
      return listener.runEnded(state, assignment, end);
    });
    this.unansweredStarts = options.loose;
    this.previous = new previousRuns.PreviousRuns({
      clock,
      tracked: this.tracked,
      unreported: this.unreported,
      unansweredStarts: this.unansweredStarts,
      blockStart,
      blockRun,
    });
  }
}
