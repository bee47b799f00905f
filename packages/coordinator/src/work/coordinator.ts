/** One term of the coordinator: takes over, then lets its parts work. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as advice from "./advice_book.ts";
import * as describing from "./describe.ts";
import * as endLogs from "./end_log.ts";
import type * as terms from "../election/term.ts";
import * as guarantees from "./guarantee_watch.ts";
import * as intake from "./intake.ts";
import type * as occupants from "../sessions/occupant.ts";
import * as fences from "./partition_fences.ts";
import * as plannings from "./planning.ts";
import type * as ports from "../ports.ts";
import * as recorders from "./recorder.ts";
import * as recoveries from "./recovery.ts";
import * as controls from "./run_control.ts";
import type * as missings from "./missing_runs.ts";
import * as listeners from "../sessions/session_listener.ts";
import type * as silences from "../endpoints/silence_log.ts";
import type * as unheards from "../sessions/unheard_runs.ts";
import * as watches from "../endpoints/run_watch.ts";
import * as directories from "../endpoints/worker_directory.ts";
import * as books from "./workflow_book.ts";

/** A silent link is noticed soon after this wait. */
const FEED_WAIT_MS = 1000;
/**
 * A term begins its work without the newest changes after this time, in ms: one
 * answer of a slow store; leases have to be renewed.
 */
const CATCH_UP_MS = 400;
/**
 * Endpoints write their listings again with each beat: 245 of them woke the feed 95
 * times a second, a quarter of all calls to the store on a quiet day. What a listing
 * tells, that it drains or has gone, may come a tenth of a second later.
 */
const GATHER_LISTINGS_MS = 100;
const SWEEP_MS = 5000;
/** Time between two looks at all running tasks. */
const WATCH_MS = 400;
/** A store that is silent for this long holds up plans. */
const STORE_SILENT_MS = 600;

/** Coordinates all workflows under one fencing token. */
export class Coordinator extends listeners.SessionListener {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: terms.Term;
  readonly #electedAtMs: number;
  readonly #recovery: recoveries.Recovery;
  readonly #recorder: recorders.Recorder;
  readonly #book: books.WorkflowBook;
  readonly #directory: directories.WorkerDirectory;
  readonly #control: controls.RunControl;
  readonly #watch: watches.RunWatch;
  readonly #planning: plannings.Planning;
  readonly #endLog: endLogs.EndLog;
  readonly #guarantees: guarantees.GuaranteeWatch;
  readonly #advice: advice.AdviceBook;

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    term: terms.Term,
  ) {
    super();
    this.#ports = coordinatorPorts;
    this.#term = term;
    this.#endLog = new endLogs.EndLog(coordinatorPorts);
    this.#electedAtMs = coordinatorPorts.clock.monotonicMs();
    const held = new fences.PartitionFences(coordinatorPorts, term);
    this.#recovery = new recoveries.Recovery(coordinatorPorts, term, held);
    this.#recorder = new recorders.Recorder({
      ports: coordinatorPorts,
      term,
      fences: held,
      onCancelled: (mark) => this.#cancel(mark),
    });
    this.#book = new books.WorkflowBook({
      ports: coordinatorPorts,
      fences: held,
      recorder: this.#recorder,
      recovery: this.#recovery,
    });
    const directory = new directories.WorkerDirectory({
      ports: coordinatorPorts,
      term,
      listener: this,
      recovery: this.#recovery,
    });
    this.#directory = directory;
    this.#guarantees = new guarantees.GuaranteeWatch(
      coordinatorPorts,
      directory,
    );
    const book = new advice.AdviceBook({
      advisor: coordinatorPorts.advisor,
      clock: coordinatorPorts.clock,
      onAdvice: () => this.roomChanged(),
    });
    this.#advice = book;
    const parts = { ports: coordinatorPorts, directory, advice: book };
    const control = new controls.RunControl({
      ...parts,
      recorder: this.#recorder,
    });
    this.#control = control;
    this.#watch = new watches.RunWatch(coordinatorPorts, directory, control);
    this.#planning = new plannings.Planning({
      ...parts,
      control,
      live: () => this.#book.live,
      unrecorded: () => this.#book.unrecorded,
      prepare: () => this.#preparePlan(),
    });
  }

  /** What this coordinator knows, for people. */
  dump(): describing.CoordinatorDump {
    return {
      token: this.#term.token,
      lateMs: Math.round(this.#directory.lateMs),
      workflows: this.#book.open.map((workflow) =>
        describing.describeWorkflow(
          workflow,
          this.#waitOf(workflow),
        )
      ),
      workers: this.#directory.states().map(describing.describeWorker),
      evacuations: describing.describeEvacuations(
        this.#ports.evacuations.list(),
        this.#directory,
      ),
      guarantees: this.#guarantees.describe(),
    };
  }

  #waitOf({ spec: { id } }: Workflow.Workflow): describing.WaitDump | null {
    const wait = this.#planning.waitOf(id);
    if (wait === null) return null;
    const forMs = this.#ports.clock.monotonicMs() - wait.sinceMs;
    return { reason: wait.reason, forMs: Math.round(forMs) };
  }

  #lookAtRuns(): void {
    this.#watch.look();
    this.#guarantees.look();
  }

  /** Runs until interrupted. */
  run(): Effect.Effect<void> {
    const followWorkers = this.#followWorkers();
    const followIntake = this.#followIntake();
    const { clock } = this.#ports;
    const work = Effect.gen({ self: this }, function* () {
      yield* Effect.all([
        this.#recovery.awaitUsable(),
        followUntilRead(followWorkers),
      ], { concurrency: "unbounded", discard: true });
      while (!this.#hasReadOpen(followIntake)) yield* followIntake.step();
      yield* clock.within(CATCH_UP_MS, followUntilCaughtUp(followIntake));
      this.#begin();
      yield* Effect.all([
        followWorkers.run(),
        followIntake.run(),
        this.#recorder.run(),
        this.#planning.run(),
        clock.every(SWEEP_MS, this.#book.sweep()),
        clock.every(WATCH_MS, Effect.sync(() => this.#lookAtRuns())),
      ], { concurrency: "unbounded", discard: true });
    });
    const all = Effect.all([this.#recovery.openAll(), work], {
      concurrency: "unbounded",
      discard: true,
    });
    return Effect.ensuring(all, this.#directory.close());
  }

  override runEnded(
    worker: listeners.SessionWorker,
    occupant: occupants.Occupant,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    const { task, run } = occupant;
    const { workflow } = task;
    const { clock, metrics } = this.#ports;
    const nowMs = clock.monotonicMs();
    const wasOver = workflow.isOver;
    const endpoint = worker.ref.id;
    workflow.endRun(task, { run, endpoint, ...end }, nowMs);
    metrics.count("cairngate_runs_ended_total", { how: end.how });
    if (end.how === Workflow.RunEnd.Done) worker.health.succeeded(nowMs);
    else this.#runLost(worker, occupant, end);
    return this.#settle(workflow, wasOver);
  }

  override lateEnd(
    worker: listeners.SessionWorker,
    { task, run }: unheards.UnheardRun,
    end: listeners.SessionEnd,
  ): Effect.Effect<void> {
    const { workflow } = task;
    const nowMs = this.#ports.clock.monotonicMs();
    const wasOver = workflow.isOver;
    const endpoint = worker.ref.id;
    const isNews = workflow.endRun(task, { run, endpoint, ...end }, nowMs);
    if (!isNews) return Effect.void;
    this.#endLog.endedLate({ task, run, endpoint }, end);
    return this.#settle(workflow, wasOver);
  }

  override runGone(
    { ref: { id, address } }: listeners.SessionWorker,
    { task, run, presence, bornMs }: unheards.UnheardRun,
  ): void {
    const end = { task, run, worker: id, bornMs, address, presence };
    if (!task.workflow.suspectGone(end)) return;
    this.#endLog.gone({ task, run, endpoint: id });
    Effect.runFork(this.#recorder.record(task.workflow));
  }

  override crashExcused(
    victims: readonly silences.Victim[],
    fellows: Workflow.CrashFellows,
  ): void {
    for (const { task, run, presence } of victims) {
      const { workflow } = task;
      const evidence = { fellows, presence };
      if (!workflow.excuseCrash(task, run, evidence)) continue;
      this.#endLog.excused(task);
      Effect.runFork(this.#recorder.record(workflow));
    }
  }

  /** What follows from the end of a run; the effect ends when it is recorded. */
  #settle(workflow: Workflow.Workflow, wasOver: boolean): Effect.Effect<void> {
    if (workflow.isOver && !wasOver) {
      this.#endLog.gaveUp(workflow);
      this.#control.stopAll(workflow);
    }
    this.#book.conclude(workflow);
    this.roomChanged();
    return this.#recorder.record(workflow);
  }

  override lifeBegan({ ref: { id } }: listeners.SessionWorker): void {
    this.#directory.lifeBegan(id);
    this.#advice.forget(id);
    this.roomChanged();
  }

  override runConfirmed(occupant: occupants.Occupant): void {
    const { task, run } = occupant;
    if (task.run !== run) return;
    if (task.state === Workflow.TaskState.Starting) {
      task.state = Workflow.TaskState.Running;
    }
    if (!task.isSuspect || task.confirmedRun === run) return;
    // The next coordinator has to know that it was there if its endpoint ends.
    const { clock } = this.#ports;
    const endsAtMs = task.endsAtMs ??
      task.startedAtMs + task.step.estimateMs;
    const leftMs = endsAtMs - clock.monotonicMs();
    task.confirmedRun = run;
    task.confirmedEndsAtWallMs = Math.round(clock.wallMs() + leftMs);
    Effect.runFork(this.#recorder.record(task.workflow));
  }

  override roomChanged(): void {
    this.#planning.wake();
  }

  #runLost(
    worker: listeners.SessionWorker,
    occupant: occupants.Occupant,
    end: listeners.SessionEnd,
  ): void {
    const { task, run } = occupant;
    task.workflow.lostRuns++;
    this.#endLog.ended({ task, run, endpoint: worker.ref.id }, end);
    if (end.how === Workflow.RunEnd.Failed) {
      const nowMs = this.#ports.clock.monotonicMs();
      const sentAtMs = occupant.sentAtMs ?? task.startedAtMs;
      worker.health.ranAndFailed(nowMs, nowMs - sentAtMs);
    }
    if (task.step.gang) this.#control.stopGang(task, run);
  }

  #followWorkers(): TableClient.RowFollower<Ports.WorkerListing> {
    return new TableClient.RowFollower({
      ...this.#feedOptions(),
      feed: this.#ports.workerFeed,
      gatherMs: GATHER_LISTINGS_MS,
      onChange: (entries) => {
        this.#directory.update(entries);
        this.roomChanged();
      },
    });
  }

  #followIntake(): TableClient.RowFollower<unknown> {
    const isOpen = (partition: string) => this.#recovery.isOpen(partition);
    const follower = new TableClient.RowFollower<unknown>({
      ...this.#feedOptions(),
      feed: this.#ports.intakeFeed,
      mayRead: isOpen,
      onChange: (entries) => {
        const events = intake.readIntake(entries, isOpen);
        for (const accepted of events.accepted) this.#accept(accepted);
        for (const mark of events.cancelled) this.#cancel(mark);
        this.roomChanged();
      },
      onHeard: () => this.#noteRead(follower),
    });
    return follower;
  }

  /** Whether every partition that is open has been read. */
  #hasReadOpen(follower: TableClient.RowFollower<unknown>): boolean {
    return TableClient.Keys.PARTITIONS.every((partition) =>
      !this.#recovery.isOpen(partition) || follower.hasRead(partition)
    );
  }

  /** Notes once that all partitions have been read. */
  #noteRead(follower: TableClient.RowFollower<unknown>): void {
    if (this.#recovery.isComplete || !follower.isCaughtUp) return;
    this.#recovery.complete();
    this.#ports.log.info(`All partitions are read: ${this.#book.size} known.`);
    for (const workflow of this.#book.open) this.#concludeIfOver(workflow);
    this.roomChanged();
  }

  #feedOptions() {
    const { clock, random, store } = this.#ports;
    const awaitBack = () => store.awaitBack();
    return { clock, random, awaitBack, waitMs: FEED_WAIT_MS };
  }

  #begin(): void {
    const { clock, log, metrics } = this.#ports;
    this.#directory.begin();
    const tookMs = clock.monotonicMs() - this.#electedAtMs;
    metrics.observeMs("cairngate_takeover_seconds", tookMs);
    log.info(
      `Took over ${this.#book.size} workflows under token ` +
        `${this.#term.token} in ${Math.round(tookMs)} ms.`,
    );
  }

  #accept({ spec, partition }: intake.AcceptedWorkflow): void {
    const workflow = this.#book.accept(spec, partition);
    if (workflow === null) return;
    for (const task of workflow.placedTasks()) this.#control.adopt(task);
    for (const end of workflow.openEnds.all) this.#control.adoptOpenEnd(end);
    if (workflow.cancelled) this.#endCancelled(workflow);
  }

  #cancel(mark: intake.CancelMark): void {
    const workflow = this.#book.cancel(mark);
    if (workflow !== null) this.#endCancelled(workflow);
  }

  #endCancelled(workflow: Workflow.Workflow): void {
    this.#control.stopAll(workflow);
    this.#concludeIfOver(workflow);
  }

  /**
   * Records that a workflow is cancelled, and its end where nothing of it runs.
   * Its record lies in one partition only, so this waits until it is known where.
   */
  #concludeIfOver(workflow: Workflow.Workflow): void {
    if (!workflow.isOver || !this.#book.isCertain(workflow)) return;
    this.#book.conclude(workflow);
    Effect.runFork(this.#recorder.record(workflow));
  }

  /**
   * An endpoint of an earlier term is not listed, and its lease has run out. Nobody
   * knows its address any more, so this is all that will be known, unless it is
   * listed again.
   */
  #endMissing(missing: missings.MissingRun): Effect.Effect<void> {
    const { task, run, worker } = missing;
    const { workflow } = task;
    const wasOver = workflow.isOver;
    const how = Workflow.RunEnd.Lost;
    const nowMs = this.#ports.clock.monotonicMs();
    const end = { run, how, checkpoint: "", endpoint: worker };
    workflow.endRun(task, end, nowMs);
    if (workflow.suspectGone(missing)) {
      this.#endLog.gone({ task, run, endpoint: worker });
    }
    return this.#settle(workflow, wasOver);
  }

  /**
   * No plan while the store is silent: its orders would not leave. None either while
   * a data centre may be evacuated without this box's knowledge.
   */
  #preparePlan(): boolean {
    for (const missing of this.#control.takeMissing()) {
      Effect.runFork(this.#endMissing(missing));
    }
    const silentMs = this.#ports.store.silentForMs();
    return silentMs < STORE_SILENT_MS && !this.#term.isLost &&
      !this.#ports.evacuations.mayBeLate;
  }
}

/** Changes since the pages; nothing is waited for where some are unread. */
function followUntilCaughtUp<T>(
  follower: TableClient.RowFollower<T>,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (follower.hasSnapshot && !follower.isCaughtUp) yield* follower.step();
  });
}

function followUntilRead<T>(
  follower: TableClient.RowFollower<T>,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (!follower.hasSnapshot) yield* follower.step();
  });
}
