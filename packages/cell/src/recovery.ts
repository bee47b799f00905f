/**
 * Reconciles the owner's state with the tasks that workers report: from full
 * inventories after a takeover, then from incremental reports. Jobs that are
 * found running continue.
 */
import * as Types from "@cairngate/types";
import type * as states from "./cell_state.ts";
import type * as runners from "./job_runner.ts";
import * as owned from "./owned_job.ts";
import * as workerLinks from "./worker_link.ts";

const ACTIVE: ReadonlySet<Types.TaskState> = new Set([
  Types.TaskState.Held,
  Types.TaskState.Running,
]);

/** Applies the reports of a cell's workers to its state. */
export class Recovery extends workerLinks.WorkerListener {
  readonly #state: states.CellState;
  readonly #runner: runners.JobRunner;
  #isFencing = false;

  constructor(state: states.CellState, runner: runners.JobRunner) {
    super();
    this.#state = state;
    this.#runner = runner;
  }

  /** Adds a stored job from its row, unless it is present or has ended. */
  addStored(record: Types.JobRecord): void {
    if (this.#state.jobs.has(record.job.id)) return;
    if (Types.isFinalState(record.state)) return;
    if (this.#state.endedIds.has(record.job.id)) return;
    const job = owned.createStoredJob(record);
    this.#state.jobs.set(record.job.id, job);
    if (this.#isFencing) this.#settleNew(job);
  }

  /** Called once all rows are read, before the workers are fenced. */
  beginFencing(): void {
    this.#isFencing = true;
    for (const job of [...this.#state.jobs.values()]) {
      if (job.kind === "stored") this.#settleNew(job);
    }
  }

  #settleNew(job: owned.StoredJob): void {
    for (const worker of [...job.workersToPoll]) {
      const link = this.#state.links.get(worker);
      if (link === undefined || link.isFenced) job.workersToPoll.delete(worker);
    }
    this.#settle(job);
  }

  override onInventory(worker: string, inventory: Types.Inventory): void {
    const found = new Set<string>();
    for (const task of inventory.tasks) {
      found.add(`${task.jobId}/${task.attempt}/${task.rank}`);
      this.#handleTask(worker, task);
    }
    this.#handleMissing(worker, found);
    this.#setAvailable(worker, !inventory.leaving);
    this.#markPolled(worker);
    this.#state.wake();
  }

  override onReport(worker: string, report: Types.WorkerReport): void {
    for (const task of report.changed) this.#handleTask(worker, task);
    this.#setAvailable(worker, !report.leaving);
    this.#state.wake();
  }

  override onUnreachable(worker: string): void {
    this.#setAvailable(worker, false);
  }

  override onGone(worker: string): void {
    for (const job of [...this.#state.jobs.values()]) {
      if (!job.attempt?.workers.includes(worker)) continue;
      this.#runner.handleMemberLoss(job, `worker ${worker} was lost`);
    }
    this.#markPolled(worker);
    this.#state.wake();
  }

  /** Sets a worker's availability; a leaving worker is never available. */
  #setAvailable(worker: string, available: boolean): void {
    const index = this.#state.indexOf(worker);
    if (index < 0) return;
    const leaving = this.#state.ports.view.isWorkerLeaving(worker);
    this.#state.scheduler.setWorkerAvailable(index, available && !leaving);
  }

  #handleTask(worker: string, task: Types.TaskReport): void {
    const job = this.#state.jobs.get(task.jobId);
    if (job === undefined) return this.#handleUnknown(worker, task);
    if (job.attempt === null) return this.#addFound(worker, job, task);
    if (job.attempt.id !== task.attempt) return this.#discard(worker, task);
    job.attempt.isSeen = true;
    if (task.state === Types.TaskState.Finished) {
      return this.#runner.noteFinished(job, task.rank, task.result);
    }
    if (ACTIVE.has(task.state) || job.attempt.isStopping) return;
    this.#runner.handleMemberLoss(job, `worker ${worker} stopped a member`);
  }

  /** Handles a task of a job that is not in the owner's state. */
  #handleUnknown(worker: string, task: Types.TaskReport): void {
    if (!ACTIVE.has(task.state)) {
      this.#state.links.get(worker)?.acknowledge(task);
      return;
    }
    if (task.spec === null || task.caller === null) {
      return this.#discard(worker, task);
    }
    this.#adoptShort(worker, task, task.spec);
  }

  /** Adopts a running short job that an earlier owner granted. */
  #adoptShort(
    worker: string,
    task: Types.TaskReport,
    shape: Types.JobShape,
  ): void {
    const index = this.#state.indexOf(worker);
    if (index < 0) return;
    const slots = [{ worker: index, mask: task.mask }];
    const places = this.#state.placesOf(slots);
    const attempt = owned.createAttempt(task.attempt, slots, places);
    attempt.isSeen = true;
    const kind = "short" as const;
    const job: owned.ShortJob = { kind, shape, granted: null, attempt };
    this.#state.jobs.set(shape.id, job);
    const nowMs = this.#state.ports.clock.wallMs();
    const { progress } = task;
    this.#state.scheduler.restore(shape, { nowMs, slots, progress });
  }

  /** Handles a task of a job that has no current attempt. */
  #addFound(
    worker: string,
    job: owned.OwnedJob,
    task: Types.TaskReport,
  ): void {
    const isUseful = ACTIVE.has(task.state) ||
      task.state === Types.TaskState.Finished;
    if (!isUseful) return;
    if (job.kind === "short") return this.#discardEarlier(worker, job, task);
    const members = job.found.get(task.attempt) ?? [];
    const member = { worker: this.#state.indexOf(worker), report: task };
    const others = members.filter((m) => m.report.rank !== task.rank);
    job.found.set(task.attempt, [...others, member]);
    this.#settle(job);
  }

  /** Stops a task of a waiting short job, granted by an earlier owner. */
  #discardEarlier(
    worker: string,
    job: owned.ShortJob,
    task: Types.TaskReport,
  ): void {
    if (!ACTIVE.has(task.state)) return;
    // The box asked for a place again, so it has abandoned this attempt.
    this.#discard(worker, task);
    this.#state.ports.log.info(
      `Job ${job.shape.id} waits again; its earlier attempt is being stopped.`,
    );
  }

  /** Stops a task of no current attempt; acknowledges it if it is not active. */
  #discard(worker: string, task: Types.TaskReport): void {
    if (ACTIVE.has(task.state)) {
      this.#state.fork(this.#state.orders.stopUnexpected(worker, task));
    } else {
      this.#state.links.get(worker)?.acknowledge(task);
    }
  }

  /** Handles the loss of members that are missing from a worker's inventory. */
  #handleMissing(worker: string, found: ReadonlySet<string>): void {
    for (const job of [...this.#state.jobs.values()]) {
      const { attempt } = job;
      if (attempt === null || !attempt.isSeen || attempt.isStopping) continue;
      attempt.workers.forEach((name, rank) => {
        if (name !== worker || attempt.results.has(rank)) return;
        if (found.has(`${job.shape.id}/${attempt.id}/${rank}`)) return;
        this.#runner.handleMemberLoss(job, `worker ${worker} lost a member`);
      });
    }
  }

  #markPolled(worker: string): void {
    for (const job of [...this.#state.jobs.values()]) {
      if (job.kind !== "stored") continue;
      if (job.workersToPoll.delete(worker)) this.#settle(job);
    }
  }

  /**
   * Adopts a stored job as soon as all members of an attempt are found.
   * Otherwise resolves it once every worker that may run it was polled.
   */
  #settle(job: owned.StoredJob): void {
    if (job.attempt !== null || job.isEnding) return;
    const members = this.#findComplete(job);
    if (members !== null) return this.#adoptStored(job, members);
    if (job.workersToPoll.size > 0) return;
    const isInQueue = this.#state.scheduler.get(job.shape.id) !== undefined;
    if (!isInQueue) this.#resolve(job);
  }

  /** Returns the members of an attempt found in full on configured workers. */
  #findComplete(job: owned.StoredJob): owned.FoundMember[] | null {
    for (const members of job.found.values()) {
      const usable = members.filter((m) => m.worker >= 0);
      if (usable.length === job.shape.gang) return usable;
    }
    return null;
  }

  #adoptStored(job: owned.StoredJob, members: owned.FoundMember[]): void {
    const sorted = members.sort((a, b) => a.report.rank - b.report.rank);
    const slots = sorted.map((m) => ({
      worker: m.worker,
      mask: m.report.mask,
    }));
    const id = sorted[0].report.attempt;
    const places = this.#state.placesOf(slots);
    const attempt = owned.createAttempt(id, slots, places);
    attempt.isSeen = true;
    attempt.isStartOrdered = true;
    job.attempt = attempt;
    job.found.clear();
    job.workersToPoll.clear();
    const { scheduler, ports, orders } = this.#state;
    scheduler.cancel(job.shape.id);
    const nowMs = ports.clock.wallMs();
    const progress = Math.min(...sorted.map((m) => m.report.progress));
    scheduler.restore(job.shape, { nowMs, slots, progress });
    for (const { report } of sorted) {
      if (report.state !== Types.TaskState.Finished) continue;
      this.#runner.noteFinished(job, report.rank, report.result);
    }
    const isHeld = sorted.some((m) => m.report.state === Types.TaskState.Held);
    // All members are present, so the start of the earlier owner is completed.
    if (isHeld) this.#state.fork(orders.startAll(job.shape, attempt));
  }

  /**
   * Handles a job without a complete attempt: its remaining members are stopped
   * and it waits again. An unrepeatable job that may have run ends as unknown.
   */
  #resolve(job: owned.StoredJob): void {
    const members = [...job.found.values()].flat();
    for (const { worker, report } of members) {
      const name = this.#state.scheduler.layout.workers[worker]?.name;
      if (name !== undefined) this.#discard(name, report);
    }
    const mayHaveRun = job.record.state === Types.JobState.Running;
    if (mayHaveRun && !job.shape.repeatable) {
      const reason = "its worker was lost after the start was ordered";
      const state = Types.JobState.Unknown;
      const record = { ...job.record, state, reason };
      return this.#state.fork(this.#runner.end(job, record));
    }
    const progress = Math.max(0, ...members.map((m) => m.report.progress));
    job.found.clear();
    const nowMs = this.#state.ports.clock.wallMs();
    this.#state.scheduler.submit(job.shape, { nowMs, progress });
    this.#state.wake();
  }
}
