/** Starts runs at one endpoint, unless something has made the start obsolete. */
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as assignments from "./assignment.ts";
import * as starters from "./run_starter.ts";
import * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as preStartPolls from "./pre_start_polls.ts";
import type * as startReports from "./start_report_handler.ts";

const { LostCause, lost } = listeners;

/** Dependencies of the starts. */
export interface EndpointStartsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly polls: preStartPolls.PreStartPolls;
  readonly reports: startReports.StartReportHandler;
}

/** Starts runs at one endpoint. */
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
      leaseEnd: (limitMs) =>
        state.incarnation.startLeaseEnd(ports.clock.monotonicMs(), limitMs),
      onUnanswered: (run) => {
        runs.unansweredStarts.add(run);
        runs.noteRevocation();
      },
      poll: () => parts.polls.pollUntilAnswered(),
      isWanted: (assignment) =>
        runs.tracked.holds(assignment) && assignment.stoppingSinceMs === null &&
        this.#mayStart,
    });
  }

  /** Starts a run; one whose start may still be delivered is stopped. */
  start(assignment: assignments.Assignment): Effect.Effect<void> {
    const { runs: { tracked }, polls, reports } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const isLeased = yield* polls.ensureLease();
      const isAlive = assignment.task.possibleCrashes === 0 ||
        (yield* polls.isAlive());
      if (!tracked.holds(assignment)) return;
      const cause = this.#obstacleTo(assignment);
      if (cause !== null) return yield* tracked.end(assignment, lost(cause));
      this.#noteSent(assignment);
      const unsent = this.#unsentReport(isLeased && isAlive);
      const report = unsent ?? (yield* this.#starter.send(assignment));
      if (tracked.holds(assignment)) yield* reports.handle(assignment, report);
    });
  }

  /**
   * Report of a start that is not sent; null where it is. An endpoint without a lease is
   * not to blame while this box may grant none.
   */
  #unsentReport(isReady: boolean): starters.StartReport | null {
    if (!this.#options.options.term.grants.mayGrant()) return starters.WITHHELD;
    return isReady ? null : starters.NEVER_SENT;
  }

  #noteSent(assignment: assignments.Assignment): void {
    const { state, options: { ports: { clock } } } = this.#options;
    assignment.isSent = true;
    assignment.sentAtMs = clock.monotonicMs();
    assignment.bornMs = state.incarnation.bornMs;
    state.wake();
  }

  /**
   * Why a run may not start now although it was planned; the plan may be seconds old.
   */
  #obstacleTo(assignment: assignments.Assignment): listeners.LostCause | null {
    const { state, runs: { tracked }, options } = this.#options;
    const { task, stoppingSinceMs } = assignment;
    if (stoppingSinceMs !== null || task.workflow.isOver || state.isOver) {
      return LostCause.NotWanted;
    }
    if (!this.#mayStart) return LostCause.Evacuated;
    const tasks = [...tracked.sent.map((one) => one.task), task];
    return options.mayHold(tasks) ? null : LostCause.NoCapacity;
  }

  get #mayStart(): boolean {
    const { state, options: { ports: { evacuations } } } = this.#options;
    return evacuations.mayStart(state.dataCentre);
  }
}
