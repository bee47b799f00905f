/** Ends the runs and the session of one endpoint when its incarnation has ended. */
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import * as evidences from "./end_evidence.ts";
import * as assignments from "./assignment.ts";
import * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as unreportedRuns from "./unreported_runs.ts";

const { LostCause, lost } = listeners;

/** Dependencies of the handling of ends. */
export interface EndpointEndsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
}

/**
 * Shortest time in ms in which an endpoint ends and answers again as another
 * incarnation: a restart takes about 3 s, and 1 s where an endpoint restarts
 * repeatedly.
 */
const MIN_RESTART_MS = 300;

/**
 * Time in ms within which a live endpoint rewrites its entry: two heartbeats of 1.5 s
 * and the propagation of the listing.
 */
const ENTRY_REFRESH_MS = 3500;

/** Handles the ends of one endpoint's incarnations. */
export class EndpointEnds {
  readonly #options: EndpointEndsOptions;

  constructor(options: EndpointEndsOptions) {
    this.#options = options;
  }

  /** Ends the session and its runs: the incarnation is proven to have ended. */
  endAll(proof = evidences.EndProof.OtherEndpointAnswers): Effect.Effect<void> {
    const { state, runs: { tracked, unreported }, options } = this.#options;
    return Effect.gen({ self: this }, function* () {
      if (state.isOver) return;
      state.end();
      const nowMs = options.ports.clock.monotonicMs();
      const unreportedList = unreported.takeAll();
      const possiblyStarted = tracked.all.filter((one) =>
        this.#mayHaveStarted(one)
      );
      const endOf = this.#evaluateEnd(proof, possiblyStarted, unreportedList);
      const records = tracked.all.map((one) =>
        possiblyStarted.includes(one)
          ? this.#endTracked(one, endOf, nowMs)
          : this.#endRun(one, lost(LostCause.NeverSent))
      );
      records.push(...this.#endUnreported(unreportedList, endOf));
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  /**
   * Ends the runs of an incarnation whose address refuses connections and whose lease
   * has expired, whatever its entry says. The session stays open, since another
   * incarnation may start.
   */
  endIncarnation(): Effect.Effect<void> {
    const { state: { incarnation }, runs, options } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const sentRuns = runs.tracked.sent;
      const unreported = runs.unreported.takeAll();
      if (sentRuns.length + unreported.length === 0) return;
      incarnation.hasEnded = true;
      const nowMs = options.ports.clock.monotonicMs();
      const proof = evidences.EndProof.ConnectionRefused;
      const endOf = this.#evaluateEnd(proof, sentRuns, unreported);
      const records = sentRuns.map((one) =>
        this.#endTracked(one, endOf, nowMs)
      );
      records.push(...this.#endUnreported(unreported, endOf));
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  /**
   * Handles an answer of another endpoint at this address. An endpoint that never
   * answered here may be at another address if its entry was written by somebody
   * else: runs that an earlier coordinator started on it are kept until it had time
   * to rewrite its entry and its lease has expired, unless the records show that their
   * starts were sent to this address.
   */
  noteReplaced(): Effect.Effect<void> {
    const { state, runs, options } = this.#options;
    const nowMs = options.ports.clock.monotonicMs();
    const mayHold = nowMs - state.openedAtMs < ENTRY_REFRESH_MS ||
      !state.incarnation.clock.hasLapsed(nowMs);
    const mayBeElsewhere = !state.hasAnswered && mayHold &&
      !runs.tracked.all.every((one) => this.#wasSentHere(one));
    return mayBeElsewhere ? Effect.void : this.endAll();
  }

  /**
   * Handles an endpoint that has neither answered nor been listed for so long that it
   * may have ended; the entry of an endpoint that is cut off expires as well. Its
   * runs are reported as gone, and the session is kept: a later answer from the
   * address shows how they ended. Where connections were refused, no process listens,
   * which proves the end.
   */
  suspectGone(): void {
    const { state, runs: { unreported }, options } = this.#options;
    if (state.isSuspectedGone) return;
    if (state.incarnation.endEvidence.isRefused) {
      Effect.runFork(this.endAll(evidences.EndProof.ConnectionRefused));
      return;
    }
    // A failure that is reported before the lease expires still counts.
    const nowMs = options.ports.clock.monotonicMs();
    if (!state.incarnation.clock.hasLapsed(nowMs)) return;
    state.suspectGone();
    // An endpoint that was leaving has left, so its outstanding ends are not needed.
    if (state.incarnation.endEvidence.isLeaving) {
      for (const { task, run } of unreported.takeAll()) {
        task.workflow.unresolvedRuns.closeUnlessGone(task, run);
      }
    }
    for (const run of unreported.all) options.listener.runGone(state, run);
  }

  /**
   * Whether the record of a run shows that its start was sent to this address. A task
   * that may have crashed its endpoints is not started again so soon: whether it did is
   * not known yet.
   */
  #wasSentHere({ task, run }: assignments.Assignment): boolean {
    return task.run === run && !task.isSuspect &&
      task.address === this.#options.state.ref.address;
  }

  /**
   * Whether the ended incarnation may have had a run. Another incarnation answers
   * already, so a start sent just before came too late for the ended one.
   */
  #mayHaveStarted(assignment: assignments.Assignment): boolean {
    const { isSent, sentAtMs } = assignment;
    if (!isSent || sentAtMs === null || assignments.isConfirmed(assignment)) {
      return isSent;
    }
    const nowMs = this.#options.options.ports.clock.monotonicMs();
    return nowMs - sentAtMs >= MIN_RESTART_MS;
  }

  /**
   * Evaluates the end of the incarnation, also for the runs of earlier incarnations that
   * it may have executed as well.
   */
  #evaluateEnd(
    proof: evidences.EndProof,
    sentRuns: readonly assignments.Assignment[],
    unreported: readonly unreportedRuns.UnreportedRun[],
  ): evidences.EndOfRun {
    const { state: { incarnation }, runs: { previous } } = this.#options;
    const { bornMs, endEvidence: evidence } = incarnation;
    const ownRuns = sentRuns.filter((one) =>
      !previous.hasEndedBefore(one, bornMs)
    );
    const repeats = previous.findPossibleRepeats({ bornMs, evidence });
    const endOf = evidence.end(proof, ownRuns, [...unreported, ...repeats]);
    previous.addRepeatEnds(repeats, endOf);
    return endOf;
  }

  #endTracked(
    assignment: assignments.Assignment,
    endOf: evidences.EndOfRun,
    crashedByMs: number,
  ): Effect.Effect<void> {
    const { state: { incarnation }, runs: { tracked, previous } } =
      this.#options;
    const { bornMs, endEvidence: evidence } = incarnation;
    const presence = evidence.presenceOf(assignment, crashedByMs);
    const end = endOf({ presence, bornMs: assignment.bornMs });
    return previous.hasEndedBefore(assignment, bornMs)
      ? this.#endRun(assignment, end)
      : tracked.end(assignment, previous.takeMerged(assignment, end));
  }

  /** Ends a run; one of a previous incarnation gets the end noted with that one. */
  #endRun(
    assignment: assignments.Assignment,
    end: listeners.RunEndReport,
  ): Effect.Effect<void> {
    const { tracked, previous } = this.#options.runs;
    return tracked.end(assignment, previous.take(assignment) ?? end);
  }

  #endUnreported(
    unreported: readonly unreportedRuns.UnreportedRun[],
    endOf: evidences.EndOfRun,
  ): readonly Effect.Effect<void>[] {
    const { state, runs: { previous }, options: { listener } } = this.#options;
    return unreported.map((run) =>
      listener.lateEndReported(
        state,
        run,
        previous.take(run) ?? endOf(run),
      )
    );
  }
}
