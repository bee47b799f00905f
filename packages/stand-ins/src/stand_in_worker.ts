/** In-memory endpoint that runs tasks under leases and refuses stale epochs. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Types from "@cairngate/types";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as runLogs from "./run_log.ts";
import * as tasks from "./stand_in_task.ts";
import * as works from "./work.ts";

/** Limit on kept tasks; beyond it, the oldest ended task is removed. */
const MAX_FINISHED_TASKS = 5000;

/** Options of a stand-in endpoint. */
export interface StandInWorkerOptions {
  readonly name: string;
  readonly accelerators: number;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly runLog: runLogs.RunLog;
}

/** One stand-in endpoint. */
export class StandInEndpoint {
  readonly name: string;
  readonly #options: StandInWorkerOptions;
  readonly #tasks = new Map<string, tasks.Task>();
  readonly #revoked = new Set<string>();
  readonly #epochs = new Map<string, number>();
  #bootId: string;
  #version = 0;
  #changed = Deferred.makeUnsafe<void>();
  leaving = false;

  constructor(options: StandInWorkerOptions) {
    this.name = options.name;
    this.#options = options;
    this.#bootId = options.random.id();
  }

  /** Discards all state, as a restarted endpoint does. */
  restart(): void {
    // A restart reports no ends of tasks, so that none are recorded here.
    for (const task of this.#tasks.values()) {
      task.state = Types.TaskState.Stopped;
    }
    this.#tasks.clear();
    this.#revoked.clear();
    this.#epochs.clear();
    this.#bootId = this.#options.random.id();
    this.#bumpVersion();
  }

  /** Marks the endpoint as leaving or staying. */
  setLeaving(leaving: boolean): void {
    this.leaving = leaving;
    this.#bumpVersion();
  }

  /** Fences off lower epochs and returns all tasks. */
  seal(fence: Types.Fence) {
    return Effect.gen({ self: this }, function* () {
      yield* this.#checkFence(fence);
      return this.#inventory();
    });
  }

  /** Reserves accelerators for a task. */
  hold(order: Types.HoldOrder) {
    return Effect.gen({ self: this }, function* () {
      yield* this.#checkFence(order.fence);
      yield* this.#admit(order);
      this.#addTask(order);
    });
  }

  /** Starts a held task. */
  start(order: Types.TaskOrder) {
    return Effect.gen({ self: this }, function* () {
      yield* this.#checkFence(order.fence);
      const task = this.#tasks.get(tasks.keyOf(order));
      if (task === undefined || task.state === Types.TaskState.Stopped) {
        return yield* this.#refuse(Errors.RefusalReason.NotHeld);
      }
      if (task.state === Types.TaskState.Held) yield* this.#begin(task);
    });
  }

  /** Holds and starts a task and waits for its end. */
  run(order: Types.HoldOrder) {
    return Effect.gen({ self: this }, function* () {
      yield* this.hold(order);
      const task = this.#tasks.get(tasks.keyOf(order))!;
      yield* this.#begin(task);
      return yield* Deferred.await(task.ended);
    });
  }

  /** Stops a task, or prevents it from starting later. */
  stop(order: Types.StopOrder) {
    return Effect.gen({ self: this }, function* () {
      yield* this.#checkFence(order.fence);
      const task = this.#tasks.get(tasks.keyOf(order));
      this.#revoked.add(tasks.keyOf(order));
      if (task === undefined) {
        const nothing = { ran: false, finished: false, progress: 0 };
        return { ...nothing, result: null, bootId: this.#bootId };
      }
      const ran = task.startedAtMs > 0;
      const finished = task.state === Types.TaskState.Finished;
      if (tasks.isActive(task)) {
        this.#saveProgress(task, order.checkpoint);
        this.#end(task, "stopped");
      }
      const { progress, result } = task;
      return { ran, finished, progress, result, bootId: this.#bootId };
    });
  }

  /** Waits for changes after a version and renews leases. */
  report(request: Types.ReportRequest) {
    return Effect.gen({ self: this }, function* () {
      const { clock } = this.#options;
      yield* this.#checkFence(request.fence);
      for (const key of request.acknowledged) this.#discard(tasks.keyOf(key));
      this.#renewLeases(request.fence.cell);
      if (this.#version <= request.sinceVersion) {
        const changed = Deferred.await(this.#changed);
        yield* clock.within(request.waitMs, changed);
        yield* this.#checkFence(request.fence);
        this.#renewLeases(request.fence.cell);
      }
      return this.#report(request.sinceVersion);
    });
  }

  /** Number of accelerators in use. */
  usage(): number {
    let mask = 0;
    for (const task of this.#tasks.values()) {
      if (tasks.isActive(task)) mask |= task.order.mask;
    }
    let count = 0;
    for (let rest = mask; rest !== 0; rest &= rest - 1) count++;
    return count;
  }

  #checkFence(
    fence: Types.Fence,
  ): Effect.Effect<void, Errors.WorkerRefusedError> {
    const highest = this.#epochs.get(fence.cell) ?? 0;
    if (fence.epoch < highest) {
      return this.#refuse(Errors.RefusalReason.StaleEpoch, highest);
    }
    this.#epochs.set(fence.cell, fence.epoch);
    return Effect.void;
  }

  #admit(
    order: Types.HoldOrder,
  ): Effect.Effect<void, Errors.WorkerRefusedError> {
    if (this.leaving) return this.#refuse(Errors.RefusalReason.Leaving);
    if (this.#revoked.has(tasks.keyOf(order))) {
      return this.#refuse(Errors.RefusalReason.Revoked);
    }
    if (this.#tasks.has(tasks.keyOf(order))) {
      return this.#refuse(Errors.RefusalReason.Duplicate);
    }
    for (const task of this.#tasks.values()) {
      const overlaps = (task.order.mask & order.mask) !== 0;
      if (tasks.isActive(task) && overlaps) {
        return this.#refuse(Errors.RefusalReason.Busy);
      }
    }
    return Effect.void;
  }

  #refuse(reason: Errors.RefusalReason, epoch = 0) {
    return Effect.fail(
      new Errors.WorkerRefusedError({ worker: this.name, reason, epoch }),
    );
  }

  #addTask(order: Types.HoldOrder): void {
    const { clock } = this.#options;
    const task: tasks.Task = {
      order,
      epoch: order.fence.epoch,
      gang: order.gang,
      ended: Deferred.makeUnsafe(),
      state: Types.TaskState.Held,
      startedAtMs: 0,
      leaseUntilMs: clock.monotonicMs() + order.holdMs,
      progress: order.progress,
      result: null,
      version: 0,
    };
    this.#tasks.set(tasks.keyOf(order), task);
    this.#record(task, runLogs.ExecutionEvent.Held);
    this.#expireHold(task);
    this.#markChanged(task);
  }

  #expireHold(task: tasks.Task): void {
    const { clock } = this.#options;
    const watch = Effect.gen({ self: this }, function* () {
      yield* clock.sleep(task.order.holdMs);
      if (task.state !== Types.TaskState.Held) return;
      this.#revoked.add(tasks.keyOf(task.order));
      this.#end(task, "stopped");
    });
    Effect.runFork(watch);
  }

  #begin(task: tasks.Task): Effect.Effect<void> {
    return Effect.sync(() => {
      const { clock } = this.#options;
      task.state = Types.TaskState.Running;
      task.startedAtMs = clock.wallMs();
      task.leaseUntilMs = clock.monotonicMs() + task.order.leaseMs;
      this.#record(task, runLogs.ExecutionEvent.Started);
      this.#markChanged(task);
      Effect.runFork(this.#work(task));
    });
  }

  #work(task: tasks.Task): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { clock } = this.#options;
      const endMs = clock.monotonicMs() +
        tasks.runMsOf(task.order) * (1 - task.progress);
      for (;;) {
        const nowMs = clock.monotonicMs();
        if (task.state !== Types.TaskState.Running || nowMs >= endMs) break;
        const untilMs = Math.min(endMs, task.leaseUntilMs);
        yield* clock.sleep(Math.max(1, untilMs - nowMs));
        if (clock.monotonicMs() > task.leaseUntilMs) this.#expireLease(task);
      }
      if (task.state === Types.TaskState.Running) this.#finish(task);
    });
  }

  #expireLease(task: tasks.Task): void {
    if (task.state !== Types.TaskState.Running) return;
    this.#saveProgress(task, true);
    this.#end(task, "stopped");
  }

  #finish(task: tasks.Task): void {
    task.progress = 1;
    task.result = works.doWork(task.order.work, {
      input: task.order.input,
      rank: task.order.rank,
      gang: task.gang,
    });
    this.#end(task, "finished");
  }

  #end(task: tasks.Task, how: "finished" | "stopped"): void {
    if (!tasks.isActive(task)) return;
    task.state = how === "finished"
      ? Types.TaskState.Finished
      : Types.TaskState.Stopped;
    const event = how === "finished"
      ? runLogs.ExecutionEvent.Finished
      : runLogs.ExecutionEvent.Stopped;
    this.#record(task, event);
    Deferred.doneUnsafe(task.ended, Effect.succeed(tasks.answerOf(task)));
    this.#markChanged(task);
  }

  #saveProgress(task: tasks.Task, checkpoint: boolean): void {
    const { checkpointMs, progress } = task.order;
    if (checkpointMs === null || task.startedAtMs === 0) return;
    const ran = this.#options.clock.wallMs() - task.startedAtMs;
    const saved = checkpoint ? ran : ran - ran % checkpointMs;
    task.progress = Math.min(
      0.999,
      progress + saved / tasks.runMsOf(task.order),
    );
  }

  #renewLeases(cell: string): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const task of this.#tasks.values()) {
      if (task.order.fence.cell !== cell) continue;
      if (task.state !== Types.TaskState.Running) continue;
      task.leaseUntilMs = nowMs + task.order.leaseMs;
    }
  }

  #inventory(): Types.Inventory {
    return {
      worker: this.name,
      bootId: this.#bootId,
      leaving: this.leaving,
      version: this.#version,
      tasks: [...this.#tasks.values()].map(tasks.reportOf),
    };
  }

  #report(since: number): Types.WorkerReport {
    const changed = [...this.#tasks.values()].filter((t) => t.version > since);
    return {
      worker: this.name,
      bootId: this.#bootId,
      leaving: this.leaving,
      version: this.#version,
      changed: changed.map(tasks.reportOf),
      usage: this.usage(),
    };
  }

  #discard(key: string): void {
    const task = this.#tasks.get(key);
    if (task === undefined || tasks.isActive(task)) return;
    this.#tasks.delete(key);
    this.#revoked.add(key);
  }

  #markChanged(task: tasks.Task): void {
    // Waiting reports resume inside #bumpVersion, so the version is set first.
    task.version = this.#version + 1;
    this.#bumpVersion();
    if (this.#tasks.size > MAX_FINISHED_TASKS) this.#discardOldest();
  }

  #discardOldest(): void {
    for (const [key, task] of this.#tasks) {
      if (tasks.isActive(task)) continue;
      this.#discard(key);
      return;
    }
  }

  #bumpVersion(): void {
    this.#version++;
    const changed = this.#changed;
    this.#changed = Deferred.makeUnsafe();
    Deferred.doneUnsafe(changed, Effect.void);
  }

  #record(task: tasks.Task, event: runLogs.ExecutionEvent): void {
    const { jobId, attempt, rank, repeatable } = task.order;
    this.#options.runLog.add({
      event,
      worker: this.name,
      jobId,
      attempt,
      rank,
      gang: task.gang,
      repeatable,
      atMs: this.#options.clock.wallMs(),
    });
  }
}
