/**
 * What the coordinator has to do with one endpoint: it keeps the lease, carries out
 * starts and stops, and learns what runs and what has ended. Lives may follow one
 * another under the endpoint's id (present_life.ts); numbers, clock, health and
 * strays are those of the present one, and runs know to which one they were sent.
 */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as endpointEnds from "./endpoint_ends.ts";
import * as endpointLooks from "./endpoint_look.ts";
import * as endpointOrders from "./endpoint_orders.ts";
import * as endpointRuns from "./endpoint_runs.ts";
import * as endpointSilences from "./endpoint_silence.ts";
import * as endpointStarts from "./endpoint_starts.ts";
import * as endpointStates from "./endpoint_state.ts";
import * as endpointStops from "./endpoint_stops.ts";
import type * as occupants from "./occupant.ts";
import type * as sessionOptions from "./session_options.ts";
import * as startLooks from "./start_looks.ts";
import * as startReports from "./start_reports.ts";
import * as views from "./view_reader.ts";
import type * as unheards from "./unheard_runs.ts";
import type * as healths from "../endpoints/worker_health.ts";

/**
 * A task under which an endpoint has crashed has its endpoint for itself for this
 * time, in ms. The crashes of the users' record came 10 ms after the start; longer
 * would keep room idle for the many that only stood beside such a task.
 */
const PROBATION_MS = 1000;

/** One endpoint, under one id at one address. */
export class WorkerSession {
  readonly ref: Ports.WorkerRef;
  readonly dataCentre: string;
  readonly #options: sessionOptions.SessionOptions;
  readonly #state: endpointStates.EndpointState;
  readonly #runs: endpointRuns.EndpointRuns;
  readonly #ends: endpointEnds.EndpointEnds;
  readonly #orders: endpointOrders.EndpointOrders;
  readonly #silence: endpointSilences.EndpointSilence;
  readonly #stops: endpointStops.EndpointStops;
  readonly #views: views.ViewReader;
  readonly #look: endpointLooks.EndpointLook;
  readonly #starts: endpointStarts.EndpointStarts;
  #isAsking = false;

  constructor(options: sessionOptions.SessionOptions) {
    this.#options = options;
    this.ref = options.ref;
    this.dataCentre = options.dataCentre;
    this.#state = new endpointStates.EndpointState(options);
    const { clock, log } = options.ports;
    this.#runs = new endpointRuns.EndpointRuns({
      options,
      state: this.#state,
      seal: (occupant) => this.#stops.seal(occupant),
      sealLoose: (run) => this.#stops.sealLoose(run),
    });
    this.#ends = new endpointEnds.EndpointEnds({
      clock,
      listener: options.listener,
      state: this.#state,
      runs: this.#runs,
    });
    this.#orders = new endpointOrders.EndpointOrders({
      options,
      state: this.#state,
      ends: this.#ends,
    });
    this.#silence = new endpointSilences.EndpointSilence({
      options,
      state: this.#state,
      runs: this.#runs,
      ends: this.#ends,
    });
    this.#stops = new endpointStops.EndpointStops({
      options,
      state: this.#state,
      runs: this.#runs,
      orders: this.#orders,
    });
    this.#views = new views.ViewReader({
      clock,
      log,
      held: this.#runs.held,
      ends: () => this.#state.life.ends,
      bornMs: () => this.#state.life.bornMs,
      former: this.#runs.former,
      unheard: this.#runs.unheard,
      recovery: options.recovery,
      listener: options.listener,
      endpoint: this.#state,
      stopStray: (run) => this.#stops.stopStray(run),
      onNews: () => this.#state.wake(),
    });
    this.#look = new endpointLooks.EndpointLook({
      options,
      state: this.#state,
      runs: this.#runs,
      orders: this.#orders,
      silence: this.#silence,
      views: this.#views,
    });
    this.#starts = new endpointStarts.EndpointStarts({
      options,
      state: this.#state,
      runs: this.#runs,
      looks: new startLooks.StartLooks({
        state: this.#state,
        look: this.#look,
      }),
      reports: new startReports.StartReports({
        options,
        state: this.#state,
        runs: this.#runs,
        ends: this.#ends,
        stops: this.#stops,
        look: this.#look,
      }),
    });
  }

  /** What is known of how it treats what it is given. */
  get health(): healths.WorkerHealth {
    return this.#state.life.health;
  }

  /** Birth of the life that answered last; null: none did, or it tells none. */
  get bornMs(): number | null {
    return this.#state.life.bornMs;
  }

  /** Birth of the life that a start is likely to reach; null: nothing tells it. */
  get likelyBornMs(): number | null {
    return this.#state.life.likelyBornMs;
  }

  /** Whether an entry with this birth is of another life than is known here. */
  isOfOtherLife(listedBornMs: number | null): boolean {
    return this.#state.life.isOfOther(listedBornMs);
  }

  /** Runs that the worker holds or may hold. */
  get occupants(): readonly occupants.Occupant[] {
    return this.#runs.held.all;
  }

  /** Whether new work may be sent here. */
  get isUsable(): boolean {
    const nowMs = this.#options.ports.clock.monotonicMs();
    return !this.#state.isOver && this.#state.isReachable &&
      !this.#state.mustBeHeard &&
      this.#views.strayCount === 0 && !this.health.isAside(nowMs);
  }

  /** Whether nothing is left to learn or to tell. */
  get isIdle(): boolean {
    return this.#runs.held.isEmpty &&
      (this.#state.isOver || !this.#state.isReachable ||
        !this.#state.life.ends.hasNews);
  }

  /** Whether runs that were here may still turn out to have ended otherwise. */
  get hasUnheard(): boolean {
    return this.#runs.unheard.all.length > 0;
  }

  /** Whether it holds a task that may crash it and has only just begun. */
  isOnProbation(nowMs: number): boolean {
    return this.occupants.some(({ task }) =>
      task.isSuspect && nowMs - task.startedAtMs < PROBATION_MS
    );
  }

  /** It is listed, and tells whether it is going to leave. */
  noteListed(isDraining: boolean): void {
    this.#state.life.ending.noteListed(isDraining);
    if (!this.#state.isGone) return;
    this.#state.noteWanted();
  }

  /**
   * An entry names its address for another endpoint. That proves nothing: entries
   * outlast their endpoints, and others write them. The address itself is asked.
   */
  ask(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#state.isOver || this.#isAsking) return Effect.void;
      this.#isAsking = true;
      return Effect.ensuring(
        this.#look.look(endpointLooks.AT_ONCE),
        Effect.sync(() => {
          this.#isAsking = false;
        }),
      );
    });
  }

  /** It is neither heard nor listed for so long that it may have ended. */
  suspectGone(): void {
    this.#ends.suspectGone();
  }

  /** Whether anybody may still want to know what became of its runs. */
  get isAwaited(): boolean {
    return this.#runs.unheard.all.some(({ task }) =>
      !task.workflow.isOver && task.state !== Workflow.TaskState.Done
    );
  }

  /** It is listed no more. */
  noteUnlisted(): void {
    this.#state.life.ending.noteUnlisted(this.#state.isReachable);
  }

  /** Takes in a run that an earlier coordinator gave up before its end. */
  adoptUnheard(run: unheards.UnheardRun): void {
    this.#runs.unheard.add(run);
    this.#state.noteWanted();
  }

  /** Whether this life has answered this coordinator at its address. */
  get wasHeard(): boolean {
    return this.#state.wasHeard;
  }

  /** Runs whose ends are not known and that it may still tell of. */
  get unheard(): readonly unheards.UnheardRun[] {
    return this.#runs.unheard.all;
  }

  /** Another endpoint answers at the address. */
  noteReplaced(): Effect.Effect<void> {
    return this.#ends.noteReplaced();
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
    this.#runs.held.adopt(task);
    this.#views.noteAdopted(task);
    this.#state.noteWanted();
  }

  /** Keeps room for a run whose start is not sent yet. */
  reserve(task: Workflow.Task, ticket: string | null): occupants.Occupant {
    return this.#runs.held.reserve(task, ticket);
  }

  /** Starts a run; one whose fate stays open is stopped. */
  start(occupant: occupants.Occupant): Effect.Effect<void> {
    return this.#starts.start(occupant);
  }

  /** Stops a run; ends when the worker has heard it or the run is over. */
  stop(occupant: occupants.Occupant): Effect.Effect<void> {
    return this.#stops.stop(occupant);
  }

  /** Keeps the lease while there is something to keep it for. */
  run(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#state.isOver) {
        if (!this.#hasBusiness()) {
          yield* this.#state.awaitWake();
          continue;
        }
        yield* this.#look.look();
      }
    });
  }

  #hasBusiness(): boolean {
    if (this.#state.isGone) return false;
    return !this.#options.recovery.isComplete ||
      this.#state.life.ends.hasNews ||
      this.#state.mustBeHeard ||
      this.#views.strayCount > 0 || this.hasUnheard ||
      this.#runs.held.sent.length > 0 || !this.#state.isReachable;
  }
}
