/**
 * What the coordinator has to do with one endpoint: it keeps the lease, carries out
 * starts and stops, and learns what runs and what has ended. Lives may follow one
 * another under the endpoint's id (present_life.ts); numbers, clock, health and
 * strays are those of the present one, and runs know to which one they were sent.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as loads from "./box_load.ts";
import type * as terms from "../election/term.ts";
import * as leaseClocks from "./lease_clock.ts";
import * as formers from "./former_runs.ts";
import * as lifeEnds from "./life_end.ts";
import type * as ports from "../ports.ts";
import * as endLedgers from "./end_ledger.ts";
import * as occupants from "./occupant.ts";
import type * as recoveries from "../work/recovery.ts";
import * as looses from "./loose_starts.ts";
import * as outliveds from "./outlived_runs.ts";
import * as presentLives from "./present_life.ts";
import * as starters from "./run_starter.ts";
import * as listeners from "./session_listener.ts";
import * as strays from "./stray_runs.ts";
import * as helds from "./held_runs.ts";
import * as views from "./view_reader.ts";
import type * as silences from "../endpoints/silence_log.ts";
import * as unheards from "./unheard_runs.ts";
import * as healths from "../endpoints/worker_health.ts";

const { LostCause, lost } = listeners;

/** What a session needs. */
export interface SessionOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly listener: listeners.SessionListener;
  readonly recovery: recoveries.Recovery;
  readonly ref: Ports.WorkerRef;
  /** Birth that its entry tells; null: none. */
  readonly listedBornMs: number | null;
  /** Our time by which leases of earlier coordinators have run out. */
  readonly lapsesAtMs: number;
  /** Delay of this box; one for all sessions. */
  readonly load: loads.BoxLoad;
  /** Longest time between two looks at runs that come on, in ms. */
  readonly progressWaitMs: () => number;
  /** Whether its listing still lets it run these tasks together. */
  readonly mayHold: (tasks: readonly Workflow.Task[]) => boolean;
  /** Where it stands; nothing starts there while the operator evacuates it. */
  readonly dataCentre: string;
  /** Which endpoints have fallen silent or crashed; one for all sessions. */
  readonly silences: silences.SilenceLog;
  /** Another endpoint is known at its address: only an answer tells whose it is. */
  readonly isContested: boolean;
  /** Told of each answer of this life: no other one is at its address. */
  readonly onHeard: (ref: Ports.WorkerRef) => void;
}

/** An order without an answer counts as lost after this time, in ms. */
const ORDER_LIMIT_MS = 450;
/** A look may take this much longer than it was asked to wait, in ms. */
const VIEW_SLACK_MS = 800;
/** Longest wait of a look at a worker with lasting tasks only, in ms. */
const LONGEST_WAIT_MS = 1000;
/** Endpoints wait no longer than this for an end, in ms, by their protocol. */
const MOST_WAIT_MS = 2000;
/** A look that waits for no end, in ms: somebody waits for what it tells. */
const AT_ONCE = 0;
/** Looks in the time of one lease, so that two may be lost. */
const LOOKS_PER_LEASE = 3;
/** Tries of a stop that nobody waits for: 12 s of them, as late as starts arrive. */
const SEAL_TRIES = 20;
/** Pause before an order is sent again, in ms. */
const RETRY_MS = 150;
/**
 * Looks that are made for the endpoint's clock before a start: the first one may
 * go over a connection that has turned silent, the second goes over a new one.
 */
const CLOCK_LOOKS = 2;
/**
 * A task under which an endpoint has crashed has its endpoint for itself for this
 * time, in ms. The crashes of the users' record came 10 ms after the start; longer
 * would keep room idle for the many that only stood beside such a task.
 */
const PROBATION_MS = 1000;

/**
 * No endpoint ends and is back as another life within this time, in ms: those of the
 * users take about 3 s, the quickest that flap 1 s.
 */
const LEAST_REBIRTH_MS = 300;

/**
 * An endpoint that lives has written its own entry again within this time, in ms:
 * two heartbeats of 1.5 s and what a listing takes to be told.
 */
const OWN_ENTRY_MS = 3500;

/** One endpoint, under one id at one address. */
export class WorkerSession {
  readonly ref: Ports.WorkerRef;
  /** As its newest entry tells; empty: it was not listed since the record named it. */
  dataCentre: string;
  readonly #options: SessionOptions;
  readonly #life = new presentLives.PresentLife();
  readonly #former: formers.FormerRuns;
  readonly #loose: looses.LooseStarts;
  #health = new healths.WorkerHealth();
  #clock: leaseClocks.LeaseClock;
  readonly #starter: starters.RunStarter;
  readonly #held: helds.HeldRuns;
  readonly #views: views.ViewReader;
  #ends = new endLedgers.EndLedger();
  readonly #unheard = new unheards.UnheardRuns();
  readonly #outlived: outliveds.OutlivedRuns;
  #lifeEnd: lifeEnds.LifeEnd;
  #reachable = true;
  #over = false;
  /** Whether the life that answered last has ended, and none has answered since. */
  #hasLifeEnded = false;
  /** Whether an answer has to show first that this life is at the address. */
  #mustBeHeard: boolean;
  /** Neither heard nor listed for long: nobody asks it until it is listed again. */
  #isGone = false;
  #isAsking = false;
  /** Whether this life has answered this coordinator at its address. */
  #wasHeard = false;
  readonly #openedAtMs: number;
  #signal = Deferred.makeUnsafe<void>();
  /** Done when the look that starts wait for has ended; null while there is none. */
  #commonLook: Deferred.Deferred<void> | null = null;

  constructor(options: SessionOptions) {
    this.#options = options;
    this.ref = options.ref;
    this.#mustBeHeard = options.isContested;
    this.dataCentre = options.dataCentre;
    this.#clock = new leaseClocks.LeaseClock(options.lapsesAtMs);
    const { clock, bounds, log, metrics } = options.ports;
    this.#openedAtMs = clock.monotonicMs();
    this.#lifeEnd = this.#watchLife();
    this.#loose = new looses.LooseStarts(clock);
    this.#starter = new starters.RunStarter({
      ports: options.ports,
      term: options.term,
      ref: options.ref,
      load: options.load,
      leaseEnd: () =>
        this.#clock.leaseEnd(clock.monotonicMs(), bounds.longestLeaseMs),
      onLoose: (run) => this.#loose.add(run),
      isWanted: (occupant) =>
        this.#held.holds(occupant) && occupant.stoppingSinceMs === null &&
        this.#mayStart,
    });
    const endpoint = options.ref.id;
    this.#outlived = new outliveds.OutlivedRuns({
      clock,
      log,
      metrics,
      endpoint,
    });
    this.#held = new helds.HeldRuns((occupant, end) => {
      this.#outlived.note(occupant, end);
      return options.listener.runEnded(this, occupant, end);
    });
    this.#former = new formers.FormerRuns({
      clock,
      held: this.#held,
      unheard: this.#unheard,
      loose: this.#loose,
      seal: (occupant) => this.#seal(occupant),
      sealLoose: (run) => this.#sealLoose(run),
    });
    this.#views = new views.ViewReader({
      clock,
      log,
      held: this.#held,
      ends: () => this.#ends,
      bornMs: () => this.#life.bornMs,
      former: this.#former,
      unheard: this.#unheard,
      recovery: options.recovery,
      listener: options.listener,
      endpoint: this,
      stopStray: (run) => this.#stopStray(run),
      onNews: () => this.#wake(),
    });
  }

  /** What is known of how it treats what it is given. */
  get health(): healths.WorkerHealth {
    return this.#health;
  }

  /** Birth of the life that answered last; null: none did, or it tells none. */
  get bornMs(): number | null {
    return this.#life.bornMs;
  }

  /** Birth of the life that a start is likely to reach; null: nothing tells it. */
  get likelyBornMs(): number | null {
    return this.#life.wasHeard ? this.#life.bornMs : this.#options.listedBornMs;
  }

  /** Whether an entry with this birth is of another life than is known here. */
  isOfOtherLife(listedBornMs: number | null): boolean {
    if (listedBornMs === null) return false;
    return listedBornMs !== (this.#life.bornMs ?? this.#options.listedBornMs);
  }

  /** Runs that the worker holds or may hold. */
  get occupants(): readonly occupants.Occupant[] {
    return this.#held.all;
  }

  /** Whether new work may be sent here. */
  get isUsable(): boolean {
    const nowMs = this.#options.ports.clock.monotonicMs();
    return !this.#over && this.#reachable && !this.#mustBeHeard &&
      this.#views.strayCount === 0 && !this.health.isAside(nowMs);
  }

  /** Whether nothing is left to learn or to tell. */
  get isIdle(): boolean {
    return this.#held.isEmpty &&
      (this.#over || !this.#reachable || !this.#ends.hasNews);
  }

  /** Whether runs that were here may still turn out to have ended otherwise. */
  get hasUnheard(): boolean {
    return this.#unheard.all.length > 0;
  }

  /** Whether it holds a task that may crash it and has only just begun. */
  isOnProbation(nowMs: number): boolean {
    return this.occupants.some(({ task }) =>
      task.isSuspect && nowMs - task.startedAtMs < PROBATION_MS
    );
  }

  /** It is listed, and tells whether it is going to leave. */
  noteListed(isDraining: boolean): void {
    this.#lifeEnd.noteListed(isDraining);
    if (!this.#isGone) return;
    this.#isGone = false;
    this.#wake();
  }

  /**
   * An entry names its address for another endpoint. That proves nothing: entries
   * outlast their endpoints, and others write them. The address itself is asked.
   */
  ask(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#over || this.#isAsking) return Effect.void;
      this.#isAsking = true;
      return Effect.ensuring(
        this.#look(AT_ONCE),
        Effect.sync(() => {
          this.#isAsking = false;
        }),
      );
    });
  }

  /**
   * It is neither heard nor listed for so long that it may have ended; its entry
   * lapses as well where it is cut off. What ran there is told of as gone, and the
   * session is kept: whoever answers there later shows what became of it. Where
   * connections were refused, nobody listens: that is an end, and no cut.
   */
  suspectGone(): void {
    if (this.#isGone) return;
    if (this.#lifeEnd.isRefused) {
      Effect.runFork(this.endAll(lifeEnds.LifeEndSign.NobodyListens));
      return;
    }
    this.#isGone = true;
    // One that was going to leave has left; nobody waits for news of it.
    if (this.#lifeEnd.isLeaving) this.#unheard.takeAll();
    for (const run of this.#unheard.all) {
      this.#options.listener.runGone(this, run);
    }
  }

  /** Whether anybody may still want to know what became of its runs. */
  get isAwaited(): boolean {
    return this.#unheard.all.some(({ task }) =>
      !task.workflow.isOver && task.state !== Workflow.TaskState.Done
    );
  }

  /** It is listed no more. */
  noteUnlisted(): void {
    this.#lifeEnd.noteUnlisted(this.#reachable);
  }

  /** Takes in a run that an earlier coordinator gave up before its end. */
  adoptUnheard(run: unheards.UnheardRun): void {
    this.#unheard.add(run);
    this.#isGone = false;
    this.#wake();
  }

  /** Whether this life has answered this coordinator at its address. */
  get wasHeard(): boolean {
    return this.#wasHeard;
  }

  /** Runs whose ends are not known and that it may still tell of. */
  get unheard(): readonly unheards.UnheardRun[] {
    return this.#unheard.all;
  }

  /**
   * Another endpoint answers at the address. An endpoint that never answered there
   * may stand elsewhere, where its entry was written by somebody else: what an
   * earlier coordinator started on it is not given up before it had the time to
   * write its own entry again.
   */
  noteReplaced(): Effect.Effect<void> {
    const heldMs = this.#options.ports.clock.monotonicMs() - this.#openedAtMs;
    const mayBeElsewhere = !this.#wasHeard && !this.#held.isEmpty &&
      heldMs < OWN_ENTRY_MS;
    return mayBeElsewhere ? Effect.void : this.endAll();
  }

  /** Another session has taken over what it held. */
  retire(): void {
    this.#over = true;
    this.#wake();
  }

  /** Whether this life of the worker has ended. */
  get isOver(): boolean {
    return this.#over;
  }

  /** Takes in a run that the records say may be here. */
  adopt(task: Workflow.Task): void {
    this.#held.adopt(task);
    this.#isGone = false;
    this.#views.noteAdopted(task);
    this.#wake();
  }

  /** Keeps room for a run whose start is not sent yet. */
  reserve(task: Workflow.Task, ticket: string | null): occupants.Occupant {
    return this.#held.reserve(task, ticket);
  }

  /** Starts a run; one whose fate stays open is stopped. */
  start(occupant: occupants.Occupant): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const knowsClock = yield* this.#learnClock();
      const isAlive = occupant.task.possibleCrashes === 0 ||
        (yield* this.#isAlive());
      if (!this.#held.holds(occupant)) return;
      const obstacle = this.#obstacleTo(occupant);
      if (obstacle !== null) {
        return yield* this.#held.end(occupant, lost(obstacle));
      }
      occupant.sent = true;
      occupant.sentAtMs = this.#options.ports.clock.monotonicMs();
      occupant.bornMs = this.#life.bornMs;
      this.#wake();
      const report = knowsClock && isAlive
        ? yield* this.#starter.send(occupant)
        : starters.NEVER_SENT;
      if (this.#held.holds(occupant)) {
        yield* this.#settleStart(occupant, report);
      }
    });
  }

  /** Why a run may not start now: its plan may be seconds old. */
  #obstacleTo(occupant: occupants.Occupant): listeners.LostCause | null {
    const { task, stoppingSinceMs } = occupant;
    if (stoppingSinceMs !== null || task.workflow.isOver || this.#over) {
      return LostCause.NotWanted;
    }
    if (!this.#mayStart) return LostCause.Evacuated;
    const tasks = [...this.#held.sent.map((one) => one.task), task];
    return this.#options.mayHold(tasks) ? null : LostCause.NoRoom;
  }

  /**
   * A lease is told in the endpoint's own time, which only an answer of the present
   * life tells. So no life is given a start before it has answered this coordinator;
   * from then on it takes no order of an earlier one.
   */
  #learnClock(): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < CLOCK_LOOKS; tries++) {
        if (this.#clock.isKnown || this.#over) break;
        yield* this.#lookTogether();
      }
      return this.#clock.isKnown;
    });
  }

  /** One look for all starts that wait for it: up to eight come at once. */
  #lookTogether(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#commonLook !== null) return Deferred.await(this.#commonLook);
      const done = Deferred.makeUnsafe<void>();
      this.#commonLook = done;
      const finish = Effect.sync(() => {
        this.#commonLook = null;
        Deferred.doneUnsafe(done, Effect.void);
      });
      return Effect.ensuring(this.#look(), finish);
    });
  }

  /**
   * Asks before a task starts that may crash its endpoint: only a start that follows
   * an answer tells whether the endpoint ended under it or before.
   */
  #isAlive(): Effect.Effect<boolean> {
    return Effect.map(
      this.#look(AT_ONCE),
      () => this.#reachable && !this.#over,
    );
  }

  /** Stops a run; ends when the worker has heard it or the run is over. */
  stop(occupant: occupants.Occupant): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { term, ports: { clock, workers } } = this.#options;
      occupant.stoppingSinceMs ??= clock.monotonicMs();
      const { task: { name: task }, run } = occupant;
      const fencingToken = term.token;
      while (this.#held.holds(occupant) && !this.#over && occupant.sent) {
        const order = workers.stop(this.ref, { task, run, fencingToken });
        const heard = yield* this.#call(order, ORDER_LIMIT_MS);
        if (heard !== null) {
          occupant.knownSinceMs ??= clock.monotonicMs();
          this.#wake();
          return;
        }
        yield* clock.sleep(RETRY_MS);
      }
    });
  }

  /** It is shown to have ended: nothing of this life runs any more. */
  endAll(sign = lifeEnds.LifeEndSign.OtherAnswers): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (this.#over) return;
      this.#over = true;
      this.#wake();
      const { listener, ports: { clock } } = this.#options;
      const nowMs = clock.monotonicMs();
      const unheard = this.#unheard.takeAll();
      const wereThere = this.#held.all.filter((one) => this.#mayBeThere(one));
      const endOf = this.#lifeEnd.end(sign, wereThere, unheard);
      const records = this.#held.all.map((occupant) => {
        const end = wereThere.includes(occupant)
          ? endOf(this.#lifeEnd.presenceOf(occupant, nowMs))
          : lost(LostCause.NeverSent);
        return this.#held.end(occupant, this.#former.take(occupant) ?? end);
      });
      for (const run of unheard) {
        const end = this.#former.take(run) ?? endOf(run.presence);
        records.push(listener.lateEnd(this, run, end));
      }
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  /**
   * Whether a run may have been there when this life ended. Another life answers by
   * then, so a start sent a moment ago came too late for this one.
   */
  #mayBeThere(occupant: occupants.Occupant): boolean {
    const { sent, sentAtMs } = occupant;
    if (!sent || sentAtMs === null || occupants.isConfirmed(occupant)) {
      return sent;
    }
    const nowMs = this.#options.ports.clock.monotonicMs();
    return nowMs - sentAtMs >= LEAST_REBIRTH_MS;
  }

  /** Keeps the lease while there is something to keep it for. */
  run(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#over) {
        if (!this.#hasBusiness()) {
          yield* Deferred.await(this.#signal);
          this.#signal = Deferred.makeUnsafe<void>();
          continue;
        }
        yield* this.#look();
      }
    });
  }

  #hasBusiness(): boolean {
    if (this.#isGone) return false;
    return !this.#options.recovery.isComplete || this.#ends.hasNews ||
      this.#mustBeHeard ||
      this.#views.strayCount > 0 || this.hasUnheard ||
      this.#held.sent.length > 0 || !this.#reachable;
  }

  get #mayStart(): boolean {
    return this.#options.ports.evacuations.mayStart(this.dataCentre);
  }

  #settleStart(
    occupant: occupants.Occupant,
    report: starters.StartReport,
  ): Effect.Effect<void> {
    const { term, listener, ports: { clock } } = this.#options;
    const nowMs = clock.monotonicMs();
    // Its life has ended meanwhile; what became of it the present one shows.
    if (this.#former.has(occupant)) return Effect.void;
    switch (report.outcome) {
      case starters.StartOutcome.Running:
        this.#clock.read(report.clockMs ?? 0, nowMs);
        // A run that resumes from a checkpoint does not begin at nothing.
        if (report.clockMs !== null && occupant.task.checkpoint === "") {
          const { clockMs } = report;
          occupants.noteProgress(occupant, 0, { clockMs, nowMs });
        }
        occupant.knownSinceMs ??= nowMs;
        this.#reachable = true;
        this.#wasHeard = true;
        listener.runConfirmed(occupant);
        return Effect.void;
      case starters.StartOutcome.Earlier:
        occupant.knownSinceMs ??= nowMs;
        this.#wake();
        return Effect.void;
      case starters.StartOutcome.Replaced:
        return this.endAll();
      case starters.StartOutcome.ReplacedBefore:
        // No crash under this run: the life that it was meant for was over.
        return Effect.andThen(
          this.#held.end(occupant, lost(LostCause.NeverSent)),
          this.endAll(),
        );
      case starters.StartOutcome.Fenced:
        term.lose("a worker has seen a higher token");
        return Effect.void;
      case starters.StartOutcome.Refused:
        this.health.refused(nowMs);
        // The look tells what takes the room, and the worker's clock.
        return Effect.andThen(
          this.#look(AT_ONCE),
          Effect.suspend(() =>
            this.#held.end(occupant, lost(LostCause.Refused))
          ),
        );
      case starters.StartOutcome.NotThere:
        this.health.failed(nowMs);
        return this.#held.end(occupant, lost(LostCause.NeverSent));
      case starters.StartOutcome.MayBeThere:
        this.health.failed(nowMs);
        return this.stop(occupant);
    }
  }

  /** Makes an order; null where no answer came or it was refused. */
  #call<A>(
    order: Effect.Effect<A, Ports.OrderError>,
    limitMs: number,
  ): Effect.Effect<A | null> {
    const { ports: { clock }, term, load } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const allowedMs = load.allow(limitMs);
      const timed = yield* Effect.result(clock.within(allowedMs, order));
      if (timed._tag === "Success") {
        if (timed.success === null) this.#lifeEnd.noteUnanswered(false);
        return timed.success?.value ?? null;
      }
      const err = timed.failure;
      if (err._tag === "WorkerLostError") this.#lifeEnd.noteUnanswered(true);
      if (err._tag === "WorkerReplacedError") {
        yield* this.noteReplaced();
      }
      const isRefused = err._tag === "WorkerLostError" && err.neverSent;
      if (isRefused) this.#lifeEnd.noteRefused();
      this.#noteUnanswered(err);
      const isFenced = err._tag === "OrderRefusedError" &&
        err.reason === Errors.OrderRefusal.Fenced;
      if (isFenced) term.lose(err.message);
      return null;
    });
  }

  /** The first order without an answer tells most of what became of it. */
  #noteUnanswered(err: Ports.OrderError): void {
    if (!this.#reachable) return;
    const { id, address } = this.ref;
    this.#options.ports.log.info(
      `An order to endpoint ${id} at ${address} failed: ${err.message}`,
    );
  }

  /** One look at the worker, which also renews its lease. */
  #look(mostWaitMs = MOST_WAIT_MS): Effect.Effect<void> {
    const { ports: { clock, workers, bounds }, term, load } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const waitMs = Math.min(mostWaitMs, this.#waitMs());
      const ends = this.#ends;
      const toTell = ends.recorded;
      let sentAtMs = clock.monotonicMs();
      let leftAt = this.#life.leave();
      const renew = Effect.suspend(() => {
        sentAtMs = clock.monotonicMs();
        leftAt = this.#life.leave();
        const order = workers.renew(this.ref, {
          fencingToken: term.token,
          // A worker that is not heard gets no longer lease: it has to lapse.
          leaseUntilMs: this.#clock.isKnown && this.#reachable
            ? this.#clock.leaseEnd(sentAtMs, bounds.longestLeaseMs)
            : null,
          recordedEnds: toTell,
          recordedBy: this.#life.bornMs,
          waitMs,
        });
        return this.#call(order, waitMs + VIEW_SLACK_MS);
      });
      const isAtOnce = waitMs === 0 && this.#reachable;
      const view = yield* isAtOnce ? load.inTurn(renew) : renew;
      if (view === null) return yield* this.#notHeard();
      if (!this.#takeLife(view, leftAt)) return;
      this.#lifeEnd.noteHeard();
      this.#noteDelay(clock.monotonicMs() - sentAtMs, waitMs);
      this.#isGone = false;
      this.#wasHeard = true;
      this.#hasLifeEnded = false;
      this.#options.onHeard(this.ref);
      if (!this.#reachable || this.#mustBeHeard) {
        this.#reachable = true;
        this.#mustBeHeard = false;
        this.#options.silences.noteHeard(this.ref);
        this.#options.listener.roomChanged();
      }
      this.#outlived.compare(view);
      ends.noteTold(view.toldEnds);
      this.#clock.read(view.clockMs, clock.monotonicMs());
      yield* this.#views.take(view, sentAtMs);
      // It was not sure who would answer; the next look goes where this one did.
      if (ends.hasNews && toTell > view.toldEnds) yield* clock.sleep(RETRY_MS);
    });
  }

  /** Notes which life answers; false where that is not clear. */
  #takeLife(view: Ports.WorkerView, leftAt: presentLives.Moment): boolean {
    const formerMs = this.#life.bornMs;
    const speaker = this.#life.hear(view.bornMs, leftAt);
    if (speaker === presentLives.Speaker.Unclear) return false;
    const isLater = speaker === presentLives.Speaker.Later;
    if (isLater) this.#tellRebirth(formerMs);
    this.#former.endUnshown({
      view,
      isLater,
      lifeEnd: this.#lifeEnd,
      hasEnded: this.#hasLifeEnded,
    });
    if (isLater) this.#beginLife();
    return true;
  }

  #tellRebirth(formerMs: number | null): void {
    const { id, address } = this.ref;
    const { log, metrics } = this.#options.ports;
    metrics.count("cairngate_endpoint_rebirths_total");
    log.info(
      `Endpoint ${id} at ${address} has begun again: it was born at ` +
        `${this.#life.bornMs}, the life before at ${formerMs}.`,
    );
  }

  /** What is stopped before it arrives never starts; a look then shows its end. */
  #seal(occupant: occupants.Occupant): void {
    occupant.knownSinceMs = null;
    Effect.runFork(this.stop(occupant));
  }

  /** The same for a run that nobody waits for. */
  #sealLoose({ task, run }: Ports.RunRef): void {
    const { term, ports: { clock, workers } } = this.#options;
    const { bornMs } = this.#life;
    const order = { task, run, fencingToken: term.token };
    const seal = Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < SEAL_TRIES; tries++) {
        if (this.#over || this.#life.bornMs !== bornMs) return;
        const stop = workers.stop(this.ref, order);
        if ((yield* this.#call(stop, ORDER_LIMIT_MS)) !== null) return;
        yield* clock.sleep(RETRY_MS);
      }
    });
    Effect.runFork(seal);
  }

  /** Nothing that was numbered or timed by the former life holds for this one. */
  #beginLife(): void {
    const { ports: { clock, bounds }, listener } = this.#options;
    const lapsesAtMs = leaseClocks.foreignLapseMs(
      clock.monotonicMs(),
      bounds.longestLeaseMs,
    );
    this.#clock = new leaseClocks.LeaseClock(lapsesAtMs);
    this.#ends = new endLedgers.EndLedger();
    this.#health = new healths.WorkerHealth();
    this.#lifeEnd = this.#watchLife();
    this.#hasLifeEnded = false;
    this.#views.beginLife();
    listener.lifeBegan(this);
  }

  #watchLife(): lifeEnds.LifeEnd {
    const { ref, silences, ports: { clock, log } } = this.#options;
    return new lifeEnds.LifeEnd({ clock, log, ref, silences });
  }

  /** An answer that came before the time brings an end: it tells no delay. */
  #noteDelay(tookMs: number, waitMs: number): void {
    if (tookMs >= waitMs) this.#options.load.note(tookMs - waitMs);
  }

  #waitMs(): number {
    const settled = this.#clock.isKnown && this.#reachable &&
      !this.#ends.hasNews && this.#views.strayCount === 0 &&
      this.occupants.every((o) =>
        !o.sent || (o.knownSinceMs !== occupants.EARLIER_TERM)
      );
    if (!settled) return 0;
    const { longestLeaseMs } = this.#options.ports.bounds;
    const comesOn = this.occupants.some(({ task }) => !task.step.lasting);
    const longestMs = comesOn
      ? this.#options.progressWaitMs()
      : LONGEST_WAIT_MS;
    const leaseShareMs = Math.floor(longestLeaseMs / LOOKS_PER_LEASE);
    return Math.min(longestMs, leaseShareMs, MOST_WAIT_MS);
  }

  #notHeard(): Effect.Effect<void> {
    const { ports: { clock }, listener } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const isFirst = this.#reachable;
      if (isFirst) {
        this.#reachable = false;
        this.#options.silences.noteSilent(this.ref);
        listener.roomChanged();
        // A start may have asked: somebody has to ask until it answers again.
        this.#wake();
      }
      const hasLapsed = this.#clock.hasLapsed(clock.monotonicMs());
      if (hasLapsed && this.#wasHeard && this.#lifeEnd.isRefused) {
        yield* this.#endLifeHere();
      }
      for (const occupant of this.occupants) {
        if (!occupant.sent) continue;
        if (!hasLapsed && !hasEndedBeforeGang(occupant)) continue;
        const formerEnd = this.#former.take(occupant);
        if (formerEnd !== null) {
          yield* this.#held.end(occupant, formerEnd);
          continue;
        }
        const { task, run, bornMs } = occupant;
        // A run whose lease is out has ended, whatever became of its endpoint.
        const byMs = hasLapsed ? Number.POSITIVE_INFINITY : clock.monotonicMs();
        const presence = this.#lifeEnd.presenceOf(occupant, byMs);
        const unheard = { task, run, bornMs, presence };
        this.#unheard.add(unheard);
        const cause = hasLapsed ? LostCause.LeaseOut : LostCause.EndedFirst;
        yield* this.#held.end(occupant, lost(cause));
        // It may have crashed its endpoint: the next coordinator has to ask for it too.
        const isDoubt = hasLapsed && task.isSuspect;
        if (isDoubt) this.#options.listener.runGone(this, unheard);
      }
      // What ended before a lease ran out does not count when it is told later.
      for (const { task, run } of hasLapsed ? this.#unheard.all : []) {
        task.workflow.openEnds.closeUntold(task, run);
      }
      // Perhaps only the connection is silent: the next look takes a new one.
      if (!isFirst) yield* clock.sleep(RETRY_MS * 2);
    });
  }

  /**
   * Nobody listens any more where this life has answered, and its lease is out: it has
   * ended, whatever its entry says. The session stays, as another life may begin.
   */
  #endLifeHere(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const held = this.#held.sent;
      const unheard = this.#unheard.takeAll();
      if (held.length + unheard.length === 0) return;
      this.#hasLifeEnded = true;
      const { listener, ports: { clock } } = this.#options;
      const nowMs = clock.monotonicMs();
      const sign = lifeEnds.LifeEndSign.NobodyListens;
      const endOf = this.#lifeEnd.end(sign, held, unheard);
      const records = held.map((one) => {
        const end = endOf(this.#lifeEnd.presenceOf(one, nowMs));
        return this.#held.end(one, this.#former.take(one) ?? end);
      });
      for (const run of unheard) {
        const end = this.#former.take(run) ?? endOf(run.presence);
        records.push(listener.lateEnd(this, run, end));
      }
      yield* Effect.all(records, { concurrency: "unbounded", discard: true });
    });
  }

  #stopStray(run: Ports.RunRef): void {
    const { term, ports: { workers, log } } = this.#options;
    const name = strays.nameOf(run);
    log.warn(`Worker ${this.ref.id} runs ${name}, which nobody expects.`);
    const order = { ...run, fencingToken: term.token };
    Effect.runFork(this.#call(workers.stop(this.ref, order), ORDER_LIMIT_MS));
  }

  #wake(): void {
    Deferred.doneUnsafe(this.#signal, Effect.void);
  }
}

/**
 * Whether the ends of all others of its gang show that a run has ended. That one of
 * them broke is not enough: members end one after another, and a run that counts as
 * over too early is started a second time beside itself. One that was never confirmed
 * may still arrive, late, and wait for the others.
 */
function hasEndedBeforeGang(occupant: occupants.Occupant): boolean {
  const { task, run, stoppingSinceMs } = occupant;
  return occupants.isConfirmed(occupant) && task.run === run &&
    task.workflow.hasEndedBeforeGang(task, stoppingSinceMs);
}
