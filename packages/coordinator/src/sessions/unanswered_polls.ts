/** Handles unanswered polls and ends runs whose leases expire meanwhile. */
import * as Effect from "effect/Effect";
import type * as endpointEnds from "./endpoint_ends.ts";
import * as endpointOrders from "./endpoint_orders.ts";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import * as assignments from "./assignment.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as lateStartGuards from "./late_start_guard.ts";
import * as listeners from "./session_listener.ts";

const { LostCause, lost } = listeners;

/** Dependencies of the handling of unanswered polls. */
export interface UnansweredPollsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
  readonly ends: endpointEnds.EndpointEnds;
  readonly lateStarts: lateStartGuards.LateStartGuard;
}

/** Handles unanswered polls of one endpoint. */
export class UnansweredPolls {
  readonly #options: UnansweredPollsOptions;

  constructor(options: UnansweredPollsOptions) {
    this.#options = options;
  }

  /** Handles one unanswered poll. */
  handle(): Effect.Effect<void> {
    const { state, ends, options: { ports: { clock } } } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const isFirst = this.#markUnreachable();
      this.#options.lateStarts.beginStops();
      const { incarnation } = state;
      const hasLapsed = incarnation.clock.hasLapsed(clock.monotonicMs());
      if (hasLapsed && state.hasAnswered && incarnation.endEvidence.isRefused) {
        yield* ends.endIncarnation();
      }
      yield* this.#endLapsedRuns(hasLapsed);
      if (hasLapsed) this.#closeUnreported();
      // Possibly only the connection is silent: the next poll opens a new one.
      const pauseMs = endpointOrders.RETRY_DELAY_MS * 2;
      if (!isFirst) yield* clock.sleep(state.cutToLapse(pauseMs));
    });
  }

  /** Returns whether the previous poll was answered. */
  #markUnreachable(): boolean {
    const { state, options: { failureLog, listener } } = this.#options;
    const isFirst = state.markUnreachable();
    if (isFirst) {
      failureLog.noteSilent(state.ref);
      listener.capacityChanged();
      // A start may have sent this poll while the session was idle, which has to poll
      // until the endpoint answers.
      state.wake();
    }
    return isFirst;
  }

  /** Ends the runs that must be over by now, whatever happened to their endpoint. */
  #endLapsedRuns(hasLapsed: boolean): Effect.Effect<void> {
    const { state, runs: { tracked, previous } } = this.#options;
    return Effect.gen({ self: this }, function* () {
      for (const assignment of tracked.all) {
        if (!assignment.isSent) continue;
        if (!hasLapsed && !hasEndedBeforeGang(assignment)) continue;
        const { bornMs } = state.incarnation;
        yield* previous.hasEndedBefore(assignment, bornMs)
          ? this.#endPrevious(assignment)
          : this.#giveUp(assignment, hasLapsed);
      }
    });
  }

  /**
   * Ends a run of an earlier incarnation. If the current one may have executed it, too,
   * its end may still be reported.
   */
  #endPrevious(assignment: assignments.Assignment): Effect.Effect<void> {
    const { state, runs: { tracked, previous, unreported }, options } =
      this.#options;
    const { bornMs, endEvidence: evidence } = state.incarnation;
    const repeats = previous.findPossibleRepeats({ bornMs, evidence })
      .filter(({ task }) => task === assignment.task);
    const end = previous.take(assignment) ?? lost(LostCause.LeaseExpired);
    return Effect.gen(function* () {
      yield* tracked.end(assignment, end);
      for (const run of repeats) {
        unreported.add(run);
        // It may have crashed its endpoint: the next coordinator needs its end, too.
        options.listener.runGone(state, run);
      }
    });
  }

  /** Ends a run whose actual end may still be reported. */
  #giveUp(
    assignment: assignments.Assignment,
    hasLapsed: boolean,
  ): Effect.Effect<void> {
    const { state, runs, options: { ports, listener } } = this.#options;
    const { task, run, bornMs } = assignment;
    // A run whose lease has expired is over, whatever happened to its endpoint.
    const byMs = hasLapsed
      ? Number.POSITIVE_INFINITY
      : ports.clock.monotonicMs();
    const presence = state.incarnation.endEvidence.presenceOf(assignment, byMs);
    const unreported = { task, run, bornMs, presence };
    runs.unreported.add(unreported);
    const cause = hasLapsed
      ? LostCause.LeaseExpired
      : LostCause.EndedBeforeGang;
    return Effect.gen({ self: this }, function* () {
      const end = runs.previous.takeMerged(assignment, lost(cause));
      yield* runs.tracked.end(assignment, end);
      // It may have crashed its endpoint: the next coordinator needs its end, too.
      if (hasLapsed && task.isSuspect) listener.runGone(state, unreported);
    });
  }

  /** An end before the expiry of the lease does not count if it is reported later. */
  #closeUnreported(): void {
    for (const { task, run } of this.#options.runs.unreported.all) {
      task.workflow.unresolvedRuns.closeUnlessGone(task, run);
    }
  }
}

/**
 * Whether the ends of all other members of its gang show that a run has ended. One
 * broken member is not enough: members end one after another, and a run that is
 * presumed ended too early is started a second time in parallel. A run that was never
 * confirmed may arrive late and wait for the others. A run sent by an earlier
 * coordinator may have been stopped by it, which no record shows.
 */
function hasEndedBeforeGang(assignment: assignments.Assignment): boolean {
  const { task, run, sentAtMs, stoppingSinceMs } = assignment;
  return assignments.isConfirmed(assignment) && sentAtMs !== null &&
    task.run === run &&
    task.workflow.hasEndedBeforeGang(task, stoppingSinceMs);
}
