/** One term of the coordinator: takes over, decides, and carries out. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as directories from "./worker_directory.ts";
import type * as election from "./election.ts";
import * as advice from "./advice_book.ts";
import * as describing from "./describe.ts";
import * as evacuation from "./evacuation.ts";
import * as intake from "./intake.ts";
import type * as ports from "./ports.ts";
import * as recorders from "./recorder.ts";
import * as stragglers from "./straggler_watch.ts";
import * as sessions from "./worker_session.ts";

/** Longest time between two plans while something waits. */
const REPLAN_MS = 250;
/** Events that come together are planned together. */
const GATHER_MS = 2;
/** A plan that took long is followed by a pause this many times as long. */
const PLAN_PAUSE = 3;
const READ_LIMIT_MS = 1500;
/** A silent link is noticed soon after this wait. */
const FEED_WAIT_MS = 1000;
const SWEEP_MS = 5000;
/** Time between two looks for slow runs. */
const STRAGGLERS_MS = 400;

/** Coordinates all workflows under one fencing token. */
export class Coordinator extends sessions.SessionListener {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: election.Term;
  readonly #recorder: recorders.Recorder;
  readonly #directory: directories.WorkerDirectory;
  readonly #advice: advice.AdviceBook;
  readonly #workflows = new Map<string, Workflow.Workflow>();
  /** Cancels whose workflow has not been seen yet. */
  readonly #cancels = new Set<string>();
  readonly #endedAtMs = new Map<string, number>();
  readonly #progress = new Map<string, Ports.Row>();
  /** Tasks whose recorded worker is not listed. */
  readonly #missing = new Map<Workflow.Task, number>();
  /** Why the units of a workflow wait since the last plan. */
  readonly #waits = new Map<string, Scheduler.WaitReason>();
  /** Time that the last plan took. */
  #planMs = 0;
  #signal = Deferred.makeUnsafe<void>();

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    term: election.Term,
  ) {
    super();
    this.#ports = coordinatorPorts;
    this.#term = term;
    this.#recorder = new recorders.Recorder(coordinatorPorts, term);
    this.#advice = new advice.AdviceBook({
      advisor: coordinatorPorts.advisor,
      clock: coordinatorPorts.clock,
      onAdvice: () => this.roomChanged(),
    });
    this.#directory = new directories.WorkerDirectory({
      ports: coordinatorPorts,
      term,
      listener: this,
    });
  }

  /** What this coordinator knows, for people. */
  dump(): describing.CoordinatorDump {
    const live = [...this.#workflows.values()].filter(
      ({ state }) => !Workflow.isFinal(state),
    );
    return {
      token: this.#term.token,
      workflows: live.map((workflow) =>
        describing.describeWorkflow(
          workflow,
          this.#waits.get(workflow.spec.id) ?? null,
        )
      ),
      workers: this.#directory.states().map(describing.describeWorker),
    };
  }

  /** Runs until interrupted. */
  run(): Effect.Effect<void> {
    const followWorkers = new TableClient.RowFollower({
      ...this.#feedOptions(),
      feed: this.#ports.workerFeed,
      onChange: (entries) => {
        Effect.runFork(this.#directory.update(entries));
        this.roomChanged();
      },
    });
    const followIntake = new TableClient.RowFollower<unknown>({
      ...this.#feedOptions(),
      feed: this.#ports.intakeFeed,
      onChange: (entries) => this.#takeIntake(entries),
    });
    const work = Effect.gen({ self: this }, function* () {
      yield* Effect.all([
        this.#readProgress(),
        followUntilRead(followWorkers),
      ], { concurrency: "unbounded", discard: true });
      yield* followUntilRead(followIntake);
      this.#directory.begin();
      this.#progress.clear();
      this.#ports.log.info(
        `Took over ${this.#workflows.size} workflows under token ` +
          `${this.#term.token}.`,
      );
      yield* Effect.all([
        followWorkers.run(),
        followIntake.run(),
        this.#recorder.run(),
        this.#keepPlanning(),
        this.#ports.clock.every(SWEEP_MS, this.#sweep()),
        this.#ports.clock.every(
          STRAGGLERS_MS,
          Effect.sync(() => {
            this.#restartStragglers();
            this.#evacuate();
          }),
        ),
      ], { concurrency: "unbounded", discard: true });
    });
    return Effect.ensuring(work, this.#directory.close());
  }

  override runEnded(
    session: sessions.WorkerSession,
    occupant: sessions.Occupant,
    end: sessions.SessionEnd,
  ): Effect.Effect<void> {
    const { task, run } = occupant;
    const { workflow } = task;
    const { clock, metrics } = this.#ports;
    const nowMs = clock.monotonicMs();
    const wasOver = workflow.isOver;
    workflow.endRun(task, { run, ...end }, nowMs);
    metrics.count("cairngate_runs_ended_total", { how: end.how });
    if (end.how === Workflow.RunEnd.Done) session.health.succeeded();
    if (end.how === Workflow.RunEnd.Failed) session.health.failed(nowMs);
    if (end.how !== Workflow.RunEnd.Done) {
      workflow.lostRuns++;
      this.#logEnd(session, occupant, end);
    }
    if (end.how !== Workflow.RunEnd.Done && task.step.gang) {
      this.#stopGang(task, run);
    }
    if (workflow.isOver && !wasOver) this.#stopAll(workflow);
    this.#conclude(workflow);
    this.roomChanged();
    return this.#recorder.record(workflow);
  }

  override runConfirmed(occupant: sessions.Occupant): void {
    const { task, run } = occupant;
    if (task.run !== run) return;
    if (task.state === Workflow.TaskState.Starting) {
      task.state = Workflow.TaskState.Running;
    }
  }

  override roomChanged(): void {
    Deferred.doneUnsafe(this.#signal, Effect.void);
  }

  #feedOptions() {
    const { clock, random } = this.#ports;
    return { clock, random, waitMs: FEED_WAIT_MS };
  }

  #logEnd(
    session: sessions.WorkerSession,
    occupant: sessions.Occupant,
    end: sessions.SessionEnd,
  ): void {
    const { task, run } = occupant;
    this.#ports.log.info(
      `Run ${run} of ${task.name} on ${session.ref.id}: ${end.how}.`,
    );
  }

  /** Reads what earlier coordinators have recorded. */
  #readProgress(): Effect.Effect<void> {
    const { store, clock } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        const prefix = TableClient.Keys.PROGRESS_PREFIX;
        const read = yield* Effect.result(
          store.scan(prefix, 0, READ_LIMIT_MS),
        );
        if (read._tag === "Success") {
          for (const row of read.success) this.#progress.set(row.key, row);
          return;
        }
        yield* clock.sleep(GATHER_MS);
      }
    });
  }

  #takeIntake(entries: readonly Ports.FeedEntry<unknown>[]): void {
    const events = intake.readIntake(entries);
    for (const spec of events.accepted) this.#accept(spec);
    for (const id of events.cancelled) this.#cancel(id);
    this.roomChanged();
  }

  #accept(spec: Workflow.WorkflowSpec): void {
    if (this.#workflows.has(spec.id)) return;
    const workflow = new Workflow.Workflow(spec);
    this.#workflows.set(spec.id, workflow);
    const row = this.#progress.get(TableClient.Keys.progressKey(spec.id));
    this.#recorder.adopt(workflow, row?.revision ?? 0);
    if (row !== undefined) {
      Workflow.applyProgress(workflow, row.value as Workflow.ProgressRecord);
    }
    for (const task of workflow.placedTasks()) this.#adopt(task);
    if (this.#cancels.has(spec.id)) this.#cancel(spec.id);
  }

  /** Finds the worker that may run a task since an earlier term. */
  #adopt(task: Workflow.Task): void {
    const session = this.#directory.open(task.worker ?? "");
    // How long it ran is not known; half of its work is a fair guess.
    task.startedAtMs = this.#ports.clock.monotonicMs() -
      task.step.estimateMs / 2;
    if (session !== null) {
      session.adopt(task);
      if (task.workflow.isOver) this.#stop(task);
      return;
    }
    // The worker is not listed: its lease runs out at the latest by then.
    const { clock, bounds } = this.#ports;
    const untilMs = clock.monotonicMs() + bounds.longestLeaseMs * 1.03 + 500;
    this.#missing.set(task, untilMs);
  }

  #cancel(id: string): void {
    const workflow = this.#workflows.get(id);
    if (workflow === undefined) {
      this.#cancels.add(id);
      return;
    }
    if (workflow.isOver) return;
    workflow.cancelled = true;
    this.#ports.log.info(`Workflow ${id} is cancelled.`);
    this.#stopAll(workflow);
    this.#conclude(workflow);
    Effect.runFork(this.#recorder.record(workflow));
  }

  #conclude(workflow: Workflow.Workflow): void {
    workflow.concludeCancel();
    const { id } = workflow.spec;
    if (!Workflow.isFinal(workflow.state) || this.#endedAtMs.has(id)) return;
    this.#endedAtMs.set(id, this.#ports.clock.monotonicMs());
    this.#logConclusion(workflow);
  }

  /** One line that tells how a workflow fared against its objective. */
  #logConclusion(workflow: Workflow.Workflow): void {
    const { spec, state } = workflow;
    const nowMs = this.#ports.clock.wallMs();
    const lastRound = Workflow.countRounds(spec) - 1;
    const dueMs = Workflow.dueAtMs(spec, lastRound);
    const allowedMs = Workflow.objectiveAtMs(spec, lastRound) - dueMs;
    const [first] = spec.steps;
    this.#ports.log.info(
      `Workflow ${spec.id} of priority ${spec.policy.priority} is ${state} ` +
        `after ${Math.round(nowMs - dueMs)} of ${Math.round(allowedMs)} ms; ` +
        `first start after ${Math.round(workflow.firstStartMs - dueMs)} ms, ` +
        `${workflow.lostRuns} runs lost; ${first.count} tasks of ` +
        `${first.accelerators} accelerators, gang ${first.gang}, ` +
        `one rack ${first.sameRack}.`,
    );
  }

  #stopAll(workflow: Workflow.Workflow): void {
    for (const task of workflow.placedTasks()) this.#stop(task);
  }

  #stopGang(task: Workflow.Task, run: number): void {
    for (const member of task.workflow.siblings(task)) {
      if (member.isPlaced && member.run === run) this.#stop(member);
    }
  }

  #stop(task: Workflow.Task): void {
    if (task.worker === null) return;
    const session = this.#directory.session(task.worker);
    const occupant = session?.occupants.find((o) => o.task === task);
    if (session === null || occupant === undefined) return;
    if (task.state !== Workflow.TaskState.Done) {
      task.state = Workflow.TaskState.Stopping;
    }
    if (occupant.stopping) return;
    occupant.stopping = true;
    Effect.runFork(session.stop(occupant));
  }

  #keepPlanning(): Effect.Effect<never> {
    const { clock } = this.#ports;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* clock.within(REPLAN_MS, Deferred.await(this.#signal));
      this.#signal = Deferred.makeUnsafe<void>();
      yield* clock.sleep(Math.max(GATHER_MS, this.#planMs * PLAN_PAUSE));
      this.#releaseMissing();
      if (this.#recorder.isStalled || this.#term.isLost) return;
      this.#plan();
    }));
  }

  /** Stops slow runs that would end sooner elsewhere. */
  #restartStragglers(): void {
    const { clock, log, metrics } = this.#ports;
    const found = stragglers.findStragglers(this.#runsInProgress());
    for (const id of found.workers) {
      this.#directory.session(id)?.health.wasSlow(clock.monotonicMs());
    }
    for (const task of found.restart) {
      if (task.state !== Workflow.TaskState.Running) continue;
      log.info(`Run ${task.run} of ${task.name} is slow; it starts again.`);
      metrics.count("cairngate_stragglers_total");
      task.slowRuns++;
      this.#stop(task);
    }
  }

  /** Stops runs that would not end before their worker leaves. */
  #evacuate(): void {
    const { log, metrics } = this.#ports;
    const leaving = this.#runsInProgress().flatMap((run) => {
      const leavesInMs = this.#directory.leavesInMs(run.worker);
      return leavesInMs === null ? [] : [{ ...run, leavesInMs }];
    });
    for (const task of evacuation.findLeaving(leaving)) {
      if (task.state !== Workflow.TaskState.Running) continue;
      log.info(`Run ${task.run} of ${task.name} moves; its worker leaves.`);
      metrics.count("cairngate_evacuated_total");
      this.#stop(task);
    }
  }

  #runsInProgress(): stragglers.RunProgress[] {
    const runs: stragglers.RunProgress[] = [];
    for (const session of this.#directory.sessions) {
      for (const occupant of session.occupants) {
        const { task, watchedSinceMs, percent, percentAtMs } = occupant;
        const isRunning = task.state === Workflow.TaskState.Running &&
          task.run === occupant.run && watchedSinceMs !== null;
        if (!isRunning) continue;
        runs.push({
          task,
          worker: session.ref.id,
          ranMs: percentAtMs - watchedSinceMs,
          percent,
          came: percent - occupant.watchedFromPercent,
        });
      }
    }
    return runs;
  }

  #releaseMissing(): void {
    const nowMs = this.#ports.clock.monotonicMs();
    for (const [task, untilMs] of this.#missing) {
      const session = this.#directory.open(task.worker ?? "");
      if (session !== null) {
        this.#missing.delete(task);
        session.adopt(task);
      } else if (nowMs >= untilMs) {
        this.#missing.delete(task);
        const how = Workflow.RunEnd.Lost;
        const end = { run: task.run, how, checkpoint: "" };
        task.workflow.endRun(task, end, nowMs);
        this.#conclude(task.workflow);
        Effect.runFork(this.#recorder.record(task.workflow));
      }
    }
  }

  #plan(): void {
    const { clock, metrics, bounds, config } = this.#ports;
    const startedAtMs = clock.monotonicMs();
    const live = [...this.#workflows.values()].filter((w) => !w.isOver);
    if (live.length === 0) return;
    const workers = this.#directory.states();
    const plan = Scheduler.makePlan({
      workers,
      workflows: live,
      guarantees: guaranteesOf(config()),
      nowMs: startedAtMs,
      wallMs: clock.wallMs(),
      remotePenalty: bounds.remotePenalty,
      isAdvised: (unit, worker) => this.#advice.ticket(unit, worker) !== null,
    });
    this.#waits.clear();
    for (const { unit, reason } of plan.waits) {
      this.#waits.set(unit.workflow.spec.id, reason);
    }
    for (const stop of plan.stops) this.#yield(stop);
    for (const start of plan.starts) this.#start(start);
    this.#askAdvice(plan, workers);
    this.#planMs = clock.monotonicMs() - startedAtMs;
    metrics.observeMs("cairngate_plan_seconds", this.#planMs);
  }

  #yield(decision: Scheduler.StopDecision): void {
    const { task, claimant } = decision;
    const { log, clock, metrics } = this.#ports;
    const ranMs = Math.round(clock.monotonicMs() - task.startedAtMs);
    log.info(
      `Run ${task.run} of ${task.name} yields after ${ranMs} ms to ` +
        `${claimant.workflow.spec.id}; checkpoints: ${task.step.checkpoints}.`,
    );
    metrics.count("cairngate_yields_total");
    this.#stop(task);
  }

  /** Asks about the first unit that waits for advice. */
  #askAdvice(
    plan: Scheduler.Plan,
    workers: readonly Scheduler.WorkerState[],
  ): void {
    const { Advice } = Scheduler.WaitReason;
    for (const { unit, reason } of plan.waits) {
      if (reason !== Advice) continue;
      const eligible = workers
        .filter((worker) => Scheduler.isEligible(worker, unit))
        .sort((a, b) => a.occupants.length - b.occupants.length);
      this.#advice.ask(unit, eligible.map(({ id }) => id));
    }
  }

  /** Takes the places at once; orders leave when they are recorded. */
  #start(decision: Scheduler.StartDecision): void {
    const { unit, workers } = decision;
    const { workflow } = unit;
    const nowMs = this.#ports.clock.monotonicMs();
    const run = 1 + Math.max(...unit.tasks.map((task) => task.run));
    if (workflow.state === Workflow.WorkflowState.Queued) {
      workflow.state = Workflow.WorkflowState.Running;
      workflow.firstStartMs = this.#ports.clock.wallMs();
    }
    const orders = unit.tasks.flatMap((task, i) => {
      const session = this.#directory.session(workers[i]);
      if (session === null) return [];
      task.place(workers[i], run, nowMs);
      const ticket = this.#advice.ticket(unit, workers[i]);
      return [{ session, occupant: session.reserve(task, ticket) }];
    });
    const send = Effect.forEach(
      orders,
      ({ session, occupant }) => session.start(occupant),
      { concurrency: "unbounded", discard: true },
    );
    Effect.runFork(Effect.andThen(this.#recorder.record(workflow), send));
  }

  /** Removes rows of workflows that ended long ago. */
  #sweep(): Effect.Effect<void> {
    const { clock, bounds, store } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      const beforeMs = clock.monotonicMs() - bounds.keepEndedMs;
      for (const [id, atMs] of this.#endedAtMs) {
        const workflow = this.#workflows.get(id);
        if (atMs > beforeMs || workflow === undefined) continue;
        if (workflow.placedTasks().length > 0) continue;
        const keys = [
          TableClient.Keys.workflowKey(id),
          TableClient.Keys.cancelKey(id),
          TableClient.Keys.progressKey(id),
        ];
        const writes = keys.map((key) => ({ key, value: null }));
        const conditions = [this.#term.condition];
        yield* store.write({ conditions, writes });
        this.#workflows.delete(id);
        this.#endedAtMs.delete(id);
        this.#recorder.forget(workflow);
      }
    }).pipe(Effect.catch(() => Effect.void));
  }
}

function followUntilRead<T>(
  follower: TableClient.RowFollower<T>,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (!follower.hasSnapshot) yield* follower.step();
  });
}

function guaranteesOf(
  config: Ports.AccessConfig | null,
): ReadonlyMap<string, number> {
  const tenants = config?.tenants ?? [];
  return new Map(tenants.map(({ name, guaranteed }) => [name, guaranteed]));
}
