/** The owner of a cell: serves requests of the boxes and runs the planner. */
import * as Errors from "@cairngate/errors";
import * as Types from "@cairngate/types";
import * as Cause from "effect/Cause";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Queue from "effect/Queue";
import * as states from "./cell_state.ts";
import * as grants from "./grants.ts";
import * as runners from "./job_runner.ts";
import * as views from "./owner_views.ts";
import type * as owned from "./owned_job.ts";
import type * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";
import * as reconfigure from "./reconfigure.ts";
import * as recoveries from "./recovery.ts";
import * as sweeping from "./sweep_ended.ts";
import * as workerLinks from "./worker_link.ts";

const TICK_INTERVAL_MS = 1000;
const RECONSIDER_EVERY_TICKS = 5;
const SCAN_EVERY_TICKS = 5;

/** Schedules one cell under one epoch. */
export class CellOwner {
  readonly #state: states.CellState;
  readonly #runner: runners.JobRunner;
  readonly #recovery: recoveries.Recovery;
  /** Placement of short jobs at the request of the boxes of their callers. */
  readonly grants: grants.Grants;
  #isScanWanted = false;
  #isScanning = false;

  private constructor(state: states.CellState) {
    this.#state = state;
    this.#runner = new runners.JobRunner(state);
    this.#recovery = new recoveries.Recovery(state, this.#runner);
    this.grants = new grants.Grants(state, this.#runner);
  }

  /** Creates the owner for a newly acquired lease. */
  static create(
    cellPorts: ports.CellPorts,
    lease: leases.OwnerLease,
    config: ports.ConfigInForce,
  ): Effect.Effect<CellOwner> {
    return Effect.map(Queue.sliding<void>(1), (wakeups) => {
      const options = { ports: cellPorts, lease, config, wakeups };
      return new CellOwner(new states.CellState(options));
    });
  }

  /** The epoch of this ownership. */
  get epoch(): number {
    return this.#state.lease.epoch;
  }

  /** Runs until the ownership is lost and returns why. Running tasks continue. */
  run(): Effect.Effect<string> {
    return Effect.gen({ self: this }, function* () {
      const { lease, links, scheduler } = this.#state;
      this.#state.fork(lease.keepRenewing());
      // The rows are read before the workers are fenced: a running gang
      // without its row would be stopped as an unexpected task.
      yield* Effect.raceFirst(this.#loadStored(), lease.awaitLoss());
      for (const worker of scheduler.layout.workers) {
        if (worker !== undefined) this.#follow(worker);
      }
      this.#recovery.beginFencing();
      this.#state.fork(this.#keepTicking());
      this.#state.fork(this.#keepPlanning());
      this.#state.fork(sweeping.keepSweeping(this.#state.ports, lease));
      this.#state.ports.log.info(
        `Owning cell ${lease.cell} under epoch ${lease.epoch}, ` +
          `with ${links.size} workers.`,
      );
      return yield* lease.awaitLoss();
    }).pipe(Effect.ensuring(this.#shutDown()));
  }

  /**
   * Called when a job was stored: scans the rows at once. The job isn't added
   * from the message, which may arrive after the job has ended.
   */
  enqueue(): Effect.Effect<void> {
    return Effect.sync(() => {
      this.#isScanWanted = true;
      if (this.#isScanning) return;
      this.#state.fork(this.#scanWhileWanted());
    });
  }

  /** Returns the record of a stored job; waits up to `req.waitMs` for its end. */
  jobStatus(req: Types.JobStatus): Effect.Effect<
    Types.JobRecord | null,
    Errors.StoreUnavailableError
  > {
    return Effect.gen({ self: this }, function* () {
      const job = this.#state.jobs.get(req.jobId);
      if (job?.kind !== "stored") {
        return yield* this.#state.records.load(req.jobId);
      }
      const { clock } = this.#state.ports;
      const ended = yield* clock.within(req.waitMs, Deferred.await(job.ended));
      return ended?.value ?? this.#currentRecord(job);
    });
  }

  /** Cancels a stored job and returns its record; null if there is none. */
  cancel(jobId: string): Effect.Effect<
    Types.JobRecord | null,
    Errors.StoreUnavailableError
  > {
    return Effect.gen({ self: this }, function* () {
      const job = this.#state.jobs.get(jobId);
      if (job?.kind !== "stored") {
        return yield* this.#state.records.load(jobId);
      }
      if (job.isEnding) return yield* Deferred.await(job.ended);
      const { attempt } = job;
      if (attempt !== null) {
        attempt.isStopping = true;
        yield* this.#runner.stopWithRetries(job, attempt);
      }
      const reason = "cancelled by the caller";
      const state = Types.JobState.Cancelled;
      yield* this.#runner.end(job, { ...job.record, state, reason });
      return job.record;
    });
  }

  /** Explains the state of a job; null if the scheduler does not have it. */
  explain(jobId: string): Types.Explanation | null {
    const nowMs = this.#state.ports.clock.wallMs();
    return this.#state.scheduler.explain(jobId, nowMs);
  }

  /** Returns the state of the cell for operators. */
  status(): Types.CellStatus {
    return views.describeStatus(this.#state);
  }

  /** Returns the workers and jobs of the cell for `cairngate dump`. */
  dump(): views.CellDump {
    return views.describeDump(this.#state);
  }

  /** Releases the cell; tasks on the workers continue. */
  handOver(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#state.lease.release();
      const { epoch } = this.#state.lease;
      this.#state.lease.noteEpoch(epoch + 1, "planned stop of this box");
    });
  }

  #follow(worker: Types.WorkerSpec): void {
    const link = new workerLinks.WorkerLink({
      worker,
      ports: this.#state.ports,
      lease: this.#state.lease,
      listener: this.#recovery,
    });
    this.#state.links.set(worker.name, link);
    this.#state.fork(link.run());
  }

  #keepPlanning(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        yield* Queue.take(this.#state.wakeups);
        if (!(yield* this.#state.lease.check())) continue;
        yield* Effect.catchCause(
          Effect.sync(() => this.#plan()),
          (cause) => Effect.sync(() => this.#noteDefect(cause)),
        );
      }
    });
  }

  #plan(): void {
    const { clock, metrics } = this.#state.ports;
    const startMs = clock.monotonicMs();
    const decisions = this.#state.scheduler.plan(clock.wallMs());
    const durationMs = clock.monotonicMs() - startMs;
    metrics.observeMs("cairngate_plan_seconds", durationMs);
    for (const decision of decisions) this.#runner.execute(decision);
  }

  /** Logs and counts a defect of one planning round; the next round still runs. */
  #noteDefect(cause: Cause.Cause<never>): void {
    const { log, metrics } = this.#state.ports;
    metrics.count("cairngate_planner_defects_total");
    log.error(`Planning round failed: ${Cause.pretty(cause)}`);
  }

  #keepTicking(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      const { clock } = this.#state.ports;
      for (let tick = 0;; tick++) {
        if (tick % SCAN_EVERY_TICKS === 0) yield* this.#scan();
        if (tick % RECONSIDER_EVERY_TICKS === 0) {
          this.#state.scheduler.unblockAll();
        }
        this.#disableLeavingWorkers();
        this.#applyNewConfig();
        this.#state.wake();
        yield* clock.sleep(TICK_INTERVAL_MS);
      }
    });
  }

  /** Reads all stored jobs, with retries until the store is reachable. */
  #loadStored(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!(yield* this.#scan())) {
        yield* this.#state.ports.clock.sleep(TICK_INTERVAL_MS);
      }
    });
  }

  #scanWhileWanted(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#isScanning = true;
      while (this.#isScanWanted) {
        this.#isScanWanted = false;
        yield* this.#scan();
        this.#state.wake();
      }
      this.#isScanning = false;
    });
  }

  /** Adds new stored jobs; returns false if the store is unreachable. */
  #scan(): Effect.Effect<boolean> {
    return this.#state.records.loadChanged().pipe(
      Effect.map((found) => {
        for (const record of found) this.#recovery.addStored(record);
        return true;
      }),
      Effect.catch(() => Effect.succeed(false)),
    );
  }

  #disableLeavingWorkers(): void {
    const { scheduler, ports: cellPorts } = this.#state;
    for (const worker of scheduler.layout.workers) {
      if (worker === undefined) continue;
      const isLeaving = cellPorts.view.isWorkerLeaving(worker.name);
      if (isLeaving) scheduler.setWorkerAvailable(worker.index, false);
    }
  }

  #applyNewConfig(): void {
    const config = this.#state.ports.config();
    if (config === null) return;
    if (config.version <= this.#state.configVersion) return;
    const added = reconfigure.applyConfig(this.#state, config, this.#runner);
    for (const worker of added) this.#follow(worker);
  }

  #currentRecord(job: owned.StoredJob): Types.JobRecord {
    const entry = this.#state.scheduler.get(job.shape.id);
    const state = entry?.state ?? job.record.state;
    return { ...job.record, state };
  }

  #shutDown(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#state.interruptAll();
      this.grants.refuseAll();
    });
  }
}
