/**
 * Session of the coordinator with one endpoint: keeps its lease, starts and stops
 * runs, and reads which runs it holds and which have ended. Several incarnations may
 * follow one another under the endpoint's id (current_incarnation.ts). Numbers, clock,
 * health and unexpected runs belong to the current incarnation, and each run records
 * the incarnation that it was sent to. The parts of a session are in
 * session_parts.ts; this class is its interface to the rest of the coordinator.
 */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as assignments from "./assignment.ts";
import type * as sessionOptions from "./session_options.ts";
import * as sessionParts from "./session_parts.ts";
import type * as unreportedRuns from "./unreported_runs.ts";
import type * as healths from "../endpoints/endpoint_health.ts";

/**
 * Time in ms for which a task that may have crashed an endpoint runs alone on its
 * endpoint. Such crashes come about 10 ms after the start; a longer time would leave
 * capacity idle for the many tasks that only ran beside a crashing one.
 */
const PROBATION_MS = 1000;

/** Session with one endpoint, identified by its id and address. */
export class EndpointSession {
  readonly ref: Ports.EndpointRef;
  readonly #parts: sessionParts.SessionParts;
  readonly #state: endpointStates.EndpointState;
  readonly #runs: endpointRuns.EndpointRuns;

  constructor(options: sessionOptions.SessionOptions) {
    this.ref = options.ref;
    this.#parts = sessionParts.createParts(options);
    this.#state = this.#parts.state;
    this.#runs = this.#parts.runs;
  }

  /**
   * Data centre named by the latest entry; empty if it was not listed since the
   * record named it.
   */
  get dataCentre(): string {
    return this.#state.dataCentre;
  }

  /** How reliably it executes its runs. */
  get health(): healths.EndpointHealth {
    return this.#state.incarnation.health;
  }

  /** Birth time of the last incarnation that answered; null if none is known. */
  get bornMs(): number | null {
    return this.#state.incarnation.bornMs;
  }

  /** Birth time of the incarnation that a start probably reaches; null if unknown. */
  get likelyBornMs(): number | null {
    return this.#state.incarnation.likelyBornMs;
  }

  /** Whether an entry with this birth time is of another incarnation. */
  isOfOtherIncarnation(listedBornMs: number | null): boolean {
    return this.#state.incarnation.differsFrom(listedBornMs);
  }

  /** Runs that the endpoint holds or may hold. */
  get assignments(): readonly assignments.Assignment[] {
    return this.#runs.tracked.all;
  }

  /** Whether new work may be sent to the endpoint. */
  get isUsable(): boolean {
    const { state, viewReader, options: { ports: { clock } } } = this.#parts;
    return !state.isOver && state.isReachable && !state.mustAnswerFirst &&
      viewReader.unexpectedCount === 0 &&
      !this.health.isInBackoff(clock.monotonicMs());
  }

  /** Whether no run is tracked and nothing is left to acknowledge. */
  get isIdle(): boolean {
    const { isOver, isReachable, incarnation } = this.#state;
    return this.#runs.tracked.isEmpty &&
      (isOver || !isReachable || !incarnation.ends.hasUnacknowledged);
  }

  /** Whether some runs that are over may still turn out to have ended otherwise. */
  get hasUnreported(): boolean {
    return this.#runs.unreported.all.length > 0;
  }

  /** Whether an unanswered start may be delivered after the endpoint restarts. */
  get hasUnansweredStarts(): boolean {
    return this.#parts.lateStarts.hasUnansweredStarts;
  }

  /** Unanswered starts of runs that are over, for other boxes to guard against. */
  get revokedStarts(): readonly Ports.RevokedStart[] {
    return this.#parts.lateStarts.revokedStarts;
  }

  /** Resumes polling because of an unanswered start of an earlier coordinator. */
  noteUnansweredStart(): void {
    this.#runs.noteRevocation();
    this.#state.wake();
  }

  /** Whether it holds a task that may crash it and that started only a moment ago. */
  isOnProbation(nowMs: number): boolean {
    return this.assignments.some(({ task }) =>
      task.isSuspect && nowMs - task.startedAtMs < PROBATION_MS
    );
  }

  /** Whether the endpoint answers; one that does not gets no leases. */
  get isReachable(): boolean {
    return this.#state.isReachable;
  }

  /** Time of this box's clock by which all leases of the endpoint have expired. */
  get leaseEndMs(): number {
    return this.#state.incarnation.clock.lapsesAtMs;
  }

  /** Notes that it is listed, with its data centre and whether it is draining. */
  noteListed(
    { dataCentre, draining }: Pick<
      Ports.EndpointListing,
      "dataCentre" | "draining"
    >,
  ): void {
    this.#state.dataCentre = dataCentre;
    this.#state.incarnation.endEvidence.noteListed(draining);
    if (this.#state.isSuspectedGone) this.#state.resumePolling();
  }

  /**
   * Polls the endpoint because the entry of another one names its address. The entry
   * proves nothing: entries outlast their endpoints and may be written by others.
   */
  pollNow(): Effect.Effect<void> {
    return this.#parts.poller.pollNow();
  }

  /** Handles an endpoint that was silent and unlisted for long and may be gone. */
  suspectGone(): void {
    this.#parts.ends.suspectGone();
  }

  /** Whether a workflow still needs to know how one of its runs ended here. */
  get hasAwaitedEnds(): boolean {
    return this.#runs.unreported.all.some(({ task }) =>
      !task.workflow.isOver && task.state !== Workflow.TaskState.Done
    );
  }

  /** Notes when leases of earlier coordinators expire, by this box's clock. */
  coverLeases(lapsesAtMs: number): void {
    this.#state.incarnation.clock.coverUntil(lapsesAtMs);
    this.#state.noteTermStarted();
  }

  /** Notes that it is not listed any more. */
  noteUnlisted(): void {
    this.#state.incarnation.endEvidence.noteUnlisted(this.#state.isReachable);
  }

  /** Adds a run that an earlier coordinator gave up before its end was reported. */
  adoptUnreported(run: unreportedRuns.UnreportedRun): void {
    this.#runs.unreported.add(run);
    this.#noteAdopted(run.task, run.run);
    this.#state.resumePolling();
  }

  /** Whether the current incarnation has answered this coordinator at this address. */
  get hasAnswered(): boolean {
    return this.#state.hasAnswered;
  }

  /** Runs that are over and whose ends the endpoint may still report. */
  get unreported(): readonly unreportedRuns.UnreportedRun[] {
    return this.#runs.unreported.all;
  }

  /** Handles an answer of another endpoint at this address. */
  noteReplaced(): Effect.Effect<void> {
    return this.#parts.ends.noteReplaced();
  }

  /** Ends this session after another one has taken over its runs. */
  close(): void {
    this.#state.end();
  }

  /** Whether the incarnation has ended or another session has taken over. */
  get isOver(): boolean {
    return this.#state.isOver;
  }

  /** Adds a run that the records place on this endpoint. */
  adopt(task: Workflow.Task): void {
    this.#runs.tracked.adopt(task);
    this.#noteAdopted(task, task.run);
    this.#state.resumePolling();
  }

  /**
   * Takes over the runs of the session at the former address of this endpoint. Runs
   * whose start was not sent are planned again: the former session sends nothing any
   * more.
   */
  takeOver(former: EndpointSession): void {
    for (const one of former.#runs.tracked.sent) {
      const assignment = this.#runs.tracked.takeOver(one);
      this.#noteAdopted(one.task, one.run);
      if (one.stoppingSinceMs !== null) Effect.runFork(this.stop(assignment));
    }
    if (this.#runs.unansweredStarts.all.length > 0) this.#state.requireAnswer();
    for (const run of former.unreported) this.#runs.unreported.add(run);
    this.#state.resumePolling();
  }

  /** Reserves capacity for a run whose start is not sent yet. */
  reserve(task: Workflow.Task, ticket: string | null): assignments.Assignment {
    return this.#runs.tracked.reserve(task, ticket);
  }

  /** Starts a run; one whose start may still be delivered is stopped. */
  start(assignment: assignments.Assignment): Effect.Effect<void> {
    return this.#parts.starts.start(assignment);
  }

  /** Stops a run; completes when the endpoint has confirmed it or the run is over. */
  stop(assignment: assignments.Assignment): Effect.Effect<void> {
    return this.#parts.stops.stop(assignment);
  }

  /** Polls the endpoint, which renews its lease, as long as that is needed. */
  run(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // Recorded runs have to be added first, because an answer may end the session.
      yield* Effect.yieldNow;
      while (!this.#state.isOver) {
        if (!this.#needsPolling()) {
          yield* this.#state.awaitWake();
          continue;
        }
        yield* this.#parts.poller.pollHedged();
      }
    });
  }

  #noteAdopted({ name: task }: Workflow.Task, run: number): void {
    this.#parts.viewReader.noteAdopted({ task, run });
  }

  #needsPolling(): boolean {
    const { state, runs, viewReader, options: { recovery } } = this.#parts;
    if (state.isSuspectedGone) return false;
    return !recovery.isComplete || state.incarnation.ends.hasUnacknowledged ||
      state.mustAnswerFirst || viewReader.unexpectedCount > 0 ||
      this.hasUnreported ||
      runs.tracked.sent.length > 0 || !state.isReachable ||
      state.mayAcceptStaleStarts || this.hasUnansweredStarts;
  }
}
