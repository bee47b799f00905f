/** What ends with a life of one endpoint: the runs that it had, and its session. */
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import * as evidences from "./life_end.ts";
import * as assignments from "./occupant.ts";
import * as listeners from "./session_listener.ts";
import type * as sessionOptions from "./session_options.ts";
import type * as unreportedRuns from "./unheard_runs.ts";

const { LostCause, lost } = listeners;

/** What the ends work with. */
export interface EndpointEndsOptions {
  readonly options: sessionOptions.SessionOptions;
  readonly state: endpointStates.EndpointState;
  readonly runs: endpointRuns.EndpointRuns;
}

/** How runs ended of which it is so sure that they were there. */
type EndByPresence = (presence: Workflow.Presence) => listeners.SessionEnd;

/**
 * No endpoint ends and is back as another life within this time, in ms: those of the
 * users take about 3 s, the quickest that flap 1 s.
 */
const MIN_RESTART_MS = 300;

/**
 * An endpoint that lives has written its own entry again within this time, in ms:
 * two heartbeats of 1.5 s and what a listing takes to be told.
 */
const ENTRY_REFRESH_MS = 3500;

/** Ends of one endpoint's lives. */
export class EndpointEnds {
  readonly #options: EndpointEndsOptions;

  constructor(options: EndpointEndsOptions) {
    this.#options = options;
  }

  /** It is shown to have ended: nothing of this life runs any more. */
  endAll(proof = evidences.EndProof.OtherEndpointAnswers): Effect.Effect<void> {
    const { state, runs: { tracked, unreported: unreported }, options } =
      this.#options;
    return Effect.gen({ self: this }, function* () {
      if (state.isOver) return;
      state.end();
      const nowMs = options.ports.clock.monotonicMs();
      const unreportedList = unreported.takeAll();
      const mayHaveStarted = tracked.all.filter((one) =>
        this.#mayHaveStarted(one)
      );
      const endOf = state.incarnation.endEvidence.end(
        proof,
        mayHaveStarted,
        unreportedList,
      );
      const records = tracked.all.map((one) =>
        mayHaveStarted.includes(one)
          ? this.#endTracked(one, endOf, nowMs)
          : this.#endRun(one, lost(LostCause.NeverSent))
      );
      records.push(...this.#endUnreported(unreportedList, endOf));
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  /**
   * Nobody listens any more where this life has answered, and its lease is out: it has
   * ended, whatever its entry says. The session stays, as another life may begin.
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
      const endOf = incarnation.endEvidence.end(proof, sentRuns, unreported);
      const records = sentRuns.map((one) =>
        this.#endTracked(one, endOf, nowMs)
      );
      records.push(...this.#endUnreported(unreported, endOf));
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  /**
   * Another endpoint answers at the address. An endpoint that never answered there
   * may stand elsewhere, where its entry was written by somebody else: what an
   * earlier coordinator started on it is not given up before it had the time to
   * write its own entry again, nor while it may be leased.
   */
  noteReplaced(): Effect.Effect<void> {
    const { state, runs, options } = this.#options;
    const nowMs = options.ports.clock.monotonicMs();
    const mayHold = nowMs - state.openedAtMs < ENTRY_REFRESH_MS ||
      !state.incarnation.clock.hasLapsed(nowMs);
    const mayBeElsewhere = !state.hasAnswered && !runs.tracked.isEmpty &&
      mayHold;
    return mayBeElsewhere ? Effect.void : this.endAll();
  }

  /**
   * It is neither heard nor listed for so long that it may have ended; its entry
   * lapses as well where it is cut off. What ran there is told of as gone, and the
   * session is kept: whoever answers there later shows what became of it. Where
   * connections were refused, nobody listens: that is an end, and no cut.
   */
  suspectGone(): void {
    const { state, runs: { unreported }, options } = this.#options;
    if (state.isSuspectedGone) return;
    if (state.incarnation.endEvidence.isRefused) {
      Effect.runFork(this.endAll(evidences.EndProof.ConnectionRefused));
      return;
    }
    state.suspectGone();
    // One that was going to leave has left; nobody waits for news of it.
    if (state.incarnation.endEvidence.isLeaving) unreported.takeAll();
    for (const run of unreported.all) options.listener.runGone(state, run);
  }

  /**
   * Whether a run may have been there when this life ended. Another life answers by
   * then, so a start sent a moment ago came too late for this one.
   */
  #mayHaveStarted(assignment: assignments.Occupant): boolean {
    const { isSent, sentAtMs } = assignment;
    if (!isSent || sentAtMs === null || assignments.isConfirmed(assignment)) {
      return isSent;
    }
    const nowMs = this.#options.options.ports.clock.monotonicMs();
    return nowMs - sentAtMs >= MIN_RESTART_MS;
  }

  #endTracked(
    assignment: assignments.Occupant,
    endOf: EndByPresence,
    crashedByMs: number,
  ): Effect.Effect<void> {
    const { endEvidence } = this.#options.state.incarnation;
    return this.#endRun(
      assignment,
      endOf(endEvidence.presenceOf(assignment, crashedByMs)),
    );
  }

  /** What a former life had, ended with that one. */
  #endRun(
    assignment: assignments.Occupant,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    const { tracked, previous: previous } = this.#options.runs;
    return tracked.end(assignment, previous.take(assignment) ?? end);
  }

  #endUnreported(
    unreported: readonly unreportedRuns.UnheardRun[],
    endOf: EndByPresence,
  ): readonly Effect.Effect<void>[] {
    const { state, runs: { previous }, options: { listener } } = this.#options;
    return unreported.map((run) =>
      listener.lateEnd(state, run, previous.take(run) ?? endOf(run.presence))
    );
  }
}
