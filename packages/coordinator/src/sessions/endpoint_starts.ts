/** Starts runs at one endpoint, as far as nothing stands against them by then. */
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as occupants from "./occupant.ts";
import * as starters from "./run_starter.ts";
import * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as startLooks from "./start_looks.ts";
import type * as startReports from "./start_reports.ts";

const { LostCause, lost } = listeners;

/** What the starts work with. */
export interface EndpointStartsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly looks: startLooks.StartLooks;
  readonly reports: startReports.StartReports;
}

/** Starts at one endpoint. */
export class EndpointStarts {
  readonly #options: EndpointStartsOptions;
  readonly #starter: starters.RunStarter;

  constructor(parts: EndpointStartsOptions) {
    this.#options = parts;
    const { options: { ports, term, ref, load }, state, runs } = parts;
    this.#starter = new starters.RunStarter({
      ports,
      term,
      ref,
      load,
      leaseEnd: () => state.life.leaseEnd(ports.clock.monotonicMs()),
      onLoose: (run) => runs.loose.add(run),
      isWanted: (occupant) =>
        runs.held.holds(occupant) && occupant.stoppingSinceMs === null &&
        this.#mayStart,
    });
  }

  /** Starts a run; one whose fate stays open is stopped. */
  start(occupant: occupants.Occupant): Effect.Effect<void> {
    const { runs: { held }, looks, reports } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const knowsClock = yield* looks.learnClock();
      const isAlive = occupant.task.possibleCrashes === 0 ||
        (yield* looks.isAlive());
      if (!held.holds(occupant)) return;
      const obstacle = this.#obstacleTo(occupant);
      if (obstacle !== null) return yield* held.end(occupant, lost(obstacle));
      this.#noteSent(occupant);
      const report = knowsClock && isAlive
        ? yield* this.#starter.send(occupant)
        : starters.NEVER_SENT;
      if (held.holds(occupant)) yield* reports.settle(occupant, report);
    });
  }

  #noteSent(occupant: occupants.Occupant): void {
    const { state, options: { ports: { clock } } } = this.#options;
    occupant.sent = true;
    occupant.sentAtMs = clock.monotonicMs();
    occupant.bornMs = state.life.bornMs;
    state.wake();
  }

  /** Why a run may not start now: its plan may be seconds old. */
  #obstacleTo(occupant: occupants.Occupant): listeners.LostCause | null {
    const { state, runs: { held }, options } = this.#options;
    const { task, stoppingSinceMs } = occupant;
    if (stoppingSinceMs !== null || task.workflow.isOver || state.isOver) {
      return LostCause.NotWanted;
    }
    if (!this.#mayStart) return LostCause.Evacuated;
    const tasks = [...held.sent.map((one) => one.task), task];
    return options.mayHold(tasks) ? null : LostCause.NoRoom;
  }

  get #mayStart(): boolean {
    const { state, options: { ports: { evacuations } } } = this.#options;
    return evacuations.mayStart(state.dataCentre);
  }
}
