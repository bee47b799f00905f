/**
 * What the coordinator has to do with one endpoint: it keeps the lease, carries out
 * starts and stops, and learns what runs and what has ended. Lives may follow one
 * another under the endpoint's id (present_life.ts); numbers, clock, health and
 * strays are those of the present one, and runs know to which one they were sent.
 * Each of its jobs is a part of its own (session_parts.ts); this is what the rest of
 * the coordinator sees of them.
 */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as endpointRuns from "./endpoint_runs.ts";
import type * as endpointStates from "./endpoint_state.ts";
import type * as assignments from "./occupant.ts";
import type * as sessionOptions from "./session_options.ts";
import * as sessionParts from "./session_parts.ts";
import type * as unreportedRuns from "./unheard_runs.ts";
import type * as healths from "../endpoints/endpoint_health.ts";

/**
 * A task under which an endpoint has crashed has its endpoint for itself for this
 * time, in ms. The crashes of the users' record came 10 ms after the start; longer
 * would keep room idle for the many that only stood beside such a task.
 */
const PROBATION_MS = 1000;

/** One endpoint, under one id at one address. */
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

  /** As its newest entry tells; empty: it was not listed since the record named it. */
  get dataCentre(): string {
    return this.#state.dataCentre;
  }

  /** What is known of how it treats what it is given. */
  get health(): healths.EndpointHealth {
    return this.#state.incarnation.health;
  }

  /** Birth of the life that answered last; null: none did, or it tells none. */
  get bornMs(): number | null {
    return this.#state.incarnation.bornMs;
  }

  /** Birth of the life that a start is likely to reach; null: nothing tells it. */
  get likelyBornMs(): number | null {
    return this.#state.incarnation.likelyBornMs;
  }

  /** Whether an entry with this birth is of another life than is known here. */
  isOfOtherLife(listedBornMs: number | null): boolean {
    return this.#state.incarnation.differsFrom(listedBornMs);
  }

  /** Runs that the worker holds or may hold. */
  get occupants(): readonly assignments.Occupant[] {
    return this.#runs.tracked.all;
  }

  /** Whether new work may be sent here. */
  get isUsable(): boolean {
    const { state, viewReader, options: { ports: { clock } } } = this.#parts;
    return !state.isOver && state.isReachable && !state.mustAnswerFirst &&
      viewReader.unexpectedCount === 0 &&
      !this.health.isAside(clock.monotonicMs());
  }

  /** Whether nothing is left to learn or to tell. */
  get isIdle(): boolean {
    const { isOver, isReachable, incarnation } = this.#state;
    return this.#runs.tracked.isEmpty &&
      (isOver || !isReachable || !incarnation.ends.hasUnacknowledged);
  }

  /** Whether runs that were here may still turn out to have ended otherwise. */
  get hasUnheard(): boolean {
    return this.#runs.unreported.all.length > 0;
  }

  /** Whether an unanswered start may still be delivered there after a restart. */
  get hasLooseStarts(): boolean {
    return this.#parts.lateStarts.hasUnansweredStarts;
  }

  /** Whether it holds a task that may crash it and has only just begun. */
  isOnProbation(nowMs: number): boolean {
    return this.occupants.some(({ task }) =>
      task.isSuspect && nowMs - task.startedAtMs < PROBATION_MS
    );
  }

  /** It is listed, and tells where it stands and whether it is going to leave. */
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
   * An entry names its address for another endpoint. That proves nothing: entries
   * outlast their endpoints, and others write them. The address itself is asked.
   */
  ask(): Effect.Effect<void> {
    return this.#parts.poller.pollNow();
  }

  /** It is neither heard nor listed for so long that it may have ended. */
  suspectGone(): void {
    this.#parts.ends.suspectGone();
  }

  /** Whether anybody may still want to know what became of its runs. */
  get isAwaited(): boolean {
    return this.#runs.unreported.all.some(({ task }) =>
      !task.workflow.isOver && task.state !== Workflow.TaskState.Done
    );
  }

  /** Leases that earlier coordinators gave have run out by this time of ours. */
  coverLeases(lapsesAtMs: number): void {
    this.#state.incarnation.clock.coverUntil(lapsesAtMs);
    this.#state.noteTermStarted();
  }

  /** It is listed no more. */
  noteUnlisted(): void {
    this.#state.incarnation.endEvidence.noteUnlisted(this.#state.isReachable);
  }

  /** Takes in a run that an earlier coordinator gave up before its end. */
  adoptUnheard(run: unreportedRuns.UnheardRun): void {
    this.#runs.unreported.add(run);
    this.#state.resumePolling();
  }

  /** Whether this life has answered this coordinator at its address. */
  get wasHeard(): boolean {
    return this.#state.hasAnswered;
  }

  /** Runs whose ends are not known and that it may still tell of. */
  get unreported(): readonly unreportedRuns.UnheardRun[] {
    return this.#runs.unreported.all;
  }

  /** Another endpoint answers at the address. */
  noteReplaced(): Effect.Effect<void> {
    return this.#parts.ends.noteReplaced();
  }

  /** Another session has taken over what it held. */
  retire(): void {
    this.#state.end();
  }

  /** Whether this life of the worker has ended. */
  get isOver(): boolean {
    return this.#state.isOver;
  }

  /** Takes in a run that the records say may be here. */
  adopt(task: Workflow.Task): void {
    this.#runs.tracked.adopt(task);
    this.#parts.viewReader.noteAdopted(task);
    this.#state.resumePolling();
  }

  /**
   * Takes in what may be at the endpoint since it stood at another address. What was
   * not sent yet is planned anew: the former session sends nothing any more.
   */
  takeOver(former: EndpointSession): void {
    for (const one of former.#runs.tracked.sent) {
      const assignment = this.#runs.tracked.takeOver(one);
      this.#parts.viewReader.noteAdopted(one.task);
      if (one.stoppingSinceMs !== null) Effect.runFork(this.stop(assignment));
    }
    if (this.#runs.unansweredStarts.all.length > 0) this.#state.requireAnswer();
    for (const run of former.unreported) this.#runs.unreported.add(run);
    this.#state.resumePolling();
  }

  /** Keeps room for a run whose start is not sent yet. */
  reserve(task: Workflow.Task, ticket: string | null): assignments.Occupant {
    return this.#runs.tracked.reserve(task, ticket);
  }

  /** Starts a run; one whose fate stays open is stopped. */
  start(assignment: assignments.Occupant): Effect.Effect<void> {
    return this.#parts.starts.start(assignment);
  }

  /** Stops a run; ends when the worker has heard it or the run is over. */
  stop(assignment: assignments.Occupant): Effect.Effect<void> {
    return this.#parts.stops.stop(assignment);
  }

  /** Keeps the lease while there is something to keep it for. */
  run(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // Recorded runs are added first: an answer may end the session.
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

  #needsPolling(): boolean {
    const { state, runs, viewReader, options: { recovery } } = this.#parts;
    if (state.isSuspectedGone) return false;
    return !recovery.isComplete || state.incarnation.ends.hasUnacknowledged ||
      state.mustAnswerFirst || viewReader.unexpectedCount > 0 ||
      this.hasUnheard ||
      runs.tracked.sent.length > 0 || !state.isReachable ||
      state.mayAcceptStaleStarts || this.hasLooseStarts;
  }
}
