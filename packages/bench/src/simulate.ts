/** Simulates one scheduler on a trace, on a virtual clock. */
import * as Placement from "@cairngate/placement";
import * as Scheduler from "@cairngate/scheduler";
import * as Types from "@cairngate/types";
import * as perf from "node:perf_hooks";
import process from "node:process";
import TinyQueue from "tinyqueue";
import * as statistics from "./run_statistics.ts";
import type * as traces from "./traces.ts";

/** Time to write a checkpoint and stop, in milliseconds. */
const STOP_DURATION_MS = 2000;
/** Planning rounds between two samples of the heap size. */
const ROUNDS_PER_SAMPLE = 500;
/** Time to load a checkpoint, in milliseconds. */
const RESTORE_MS = 10_000;

/** A period in which all workers of a rack are unavailable. */
export interface RackLoss {
  readonly rack: number;
  readonly atMs: number;
  readonly untilMs: number;
}

/** Scheduler, cell, trace and rack losses of a simulation. */
export interface SimulationOptions {
  readonly layout: Scheduler.CellLayout;
  readonly scheduler: Scheduler.SchedulerCore;
  readonly jobs: readonly traces.TraceJob[];
  readonly losses: readonly RackLoss[];
  /** Called after every planning round; for tests. */
  readonly afterPlan?: (nowMs: number) => void;
}

/** Statistics of one scheduler on one trace. */
export type PolicyResult = statistics.Summary;

enum EventKind {
  Arrive,
  End,
  Stopped,
  RackLost,
  RackReturned,
}

interface SimEvent {
  readonly atMs: number;
  readonly kind: EventKind;
  readonly job: SimJob | null;
  /** The job's run that the event belongs to; events of earlier runs are ignored. */
  readonly run: number;
  readonly rack: number;
}

interface SimJob {
  readonly shape: Types.JobShape;
  readonly durationMs: number;
  slots: readonly Types.Slot[];
  startedAtMs: number;
  progress: number;
  run: number;
  claimedAtMs: number | null;
}

/** Runs the trace to its end and returns its statistics. Throws OverlapError. */
export function simulate(options: SimulationOptions): PolicyResult {
  return new Simulation(options).run();
}

class Simulation {
  readonly #options: SimulationOptions;
  readonly #events = new TinyQueue<SimEvent>([], (a, b) => a.atMs - b.atMs);
  readonly #jobs = new Map<string, SimJob>();
  readonly #space: Placement.BuddySpace;
  readonly #statistics: statistics.RunStatistics;
  #nowMs = 0;
  #peakMb = 0;
  #rounds = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#space = new Placement.BuddySpace(options.layout.racks.length);
    this.#statistics = new statistics.RunStatistics(this.#space, options.jobs);
    options.layout.workers.forEach((worker, index) => {
      const presentMask = worker === undefined
        ? 0
        : (1 << worker.accelerators) - 1;
      this.#space.setUsedMask(index, Placement.FULL_MASK & ~presentMask);
      if (worker !== undefined) {
        options.scheduler.setWorkerAvailable(index, true);
      }
    });
    options.jobs.forEach((job, i) => this.#addArrival(job, i));
    for (const loss of options.losses) this.#addLoss(loss);
  }

  run(): PolicyResult {
    for (;;) {
      const event = this.#events.pop();
      if (event === undefined) break;
      this.#statistics.advance(event.atMs);
      this.#nowMs = event.atMs;
      this.#handle(event);
      // All events of one time are handled before the next planning round.
      if (this.#events.peek()?.atMs === event.atMs) continue;
      this.#plan();
    }
    this.#sampleHeap();
    return this.#statistics.summarize(this.#peakMb);
  }

  #sampleHeap(): void {
    const heapMb = process.memoryUsage().heapUsed / 1e6;
    this.#peakMb = Math.max(this.#peakMb, heapMb);
  }

  #addArrival(job: traces.TraceJob, index: number): void {
    const shape = toShape(job, index);
    const sim: SimJob = {
      shape,
      durationMs: job.duration * 1000,
      slots: [],
      startedAtMs: 0,
      progress: 0,
      run: 0,
      claimedAtMs: null,
    };
    this.#jobs.set(shape.id, sim);
    this.#push(EventKind.Arrive, shape.submittedAtMs, sim);
  }

  #addLoss(loss: RackLoss): void {
    const { rack } = loss;
    this.#push(EventKind.RackLost, loss.atMs, null, rack);
    this.#push(EventKind.RackReturned, loss.untilMs, null, rack);
  }

  #push(kind: EventKind, atMs: number, job: SimJob | null, rack = -1): void {
    this.#events.push({ atMs, kind, job, run: job?.run ?? 0, rack });
  }

  #handle(event: SimEvent): void {
    const { job } = event;
    if (job !== null && event.run !== job.run) return;
    switch (event.kind) {
      case EventKind.Arrive:
        this.#statistics.recordArrival(job!.shape);
        this.#options.scheduler.submit(job!.shape, { nowMs: this.#nowMs });
        return;
      case EventKind.End:
        return this.#end(job!);
      case EventKind.Stopped:
        return this.#finishPreemption(job!);
      case EventKind.RackLost:
        return this.#handleRackLoss(event.rack);
      case EventKind.RackReturned:
        return this.#setRack(event.rack, true);
    }
  }

  #plan(): void {
    if (this.#rounds++ % ROUNDS_PER_SAMPLE === 0) this.#sampleHeap();
    const startMs = perf.performance.now();
    const decisions = this.#options.scheduler.plan(this.#nowMs);
    this.#statistics.recordPlan(
      perf.performance.now() - startMs,
      decisions.length,
    );
    for (const decision of decisions) this.#apply(decision);
    this.#options.afterPlan?.(this.#nowMs);
  }

  #apply(decision: Types.Decision): void {
    const job = this.#jobs.get(decision.jobId)!;
    switch (decision.kind) {
      case Types.DecisionKind.Start:
        return this.#start(job, decision.slots);
      case Types.DecisionKind.Preempt: {
        const claimant = this.#jobs.get(decision.claimant ?? "");
        if (claimant !== undefined) claimant.claimedAtMs ??= this.#nowMs;
        job.run++;
        return this.#push(
          EventKind.Stopped,
          this.#nowMs + STOP_DURATION_MS,
          job,
        );
      }
      case Types.DecisionKind.Expire:
        return this.#statistics.recordExpiry(job.shape);
    }
  }

  #start(job: SimJob, slots: readonly Types.Slot[]): void {
    job.slots = slots;
    job.startedAtMs = this.#nowMs;
    job.run++;
    this.#occupy(slots, true);
    this.#statistics.recordStart(job.shape, this.#nowMs, job.claimedAtMs);
    job.claimedAtMs = null;
    const restoreMs = job.progress > 0 ? RESTORE_MS : 0;
    const leftMs = job.durationMs * (1 - job.progress) + restoreMs;
    this.#push(EventKind.End, this.#nowMs + leftMs, job);
  }

  #end(job: SimJob): void {
    this.#release(job);
    this.#options.scheduler.finish(job.shape.id);
    this.#statistics.recordEnd(job.shape, this.#nowMs);
  }

  #finishPreemption(job: SimJob): void {
    this.#release(job);
    const progress = this.#saveProgress(job);
    this.#statistics.recordPreemption(job.shape, this.#nowMs);
    const detail = "stopped for another job";
    const options = { nowMs: this.#nowMs, progress, detail };
    this.#options.scheduler.requeue(job.shape.id, options);
  }

  /** Saves and returns the progress at the last checkpoint; later work is lost. */
  #saveProgress(job: SimJob): number {
    const ranMs = this.#nowMs - job.startedAtMs;
    const interval = job.shape.checkpointMs;
    const savedMs = interval === null ? 0 : ranMs - ranMs % interval;
    const previous = job.progress;
    job.progress = Math.min(0.999, previous + savedMs / job.durationMs);
    this.#statistics.recordLostWork(job.shape, ranMs - savedMs);
    return job.progress;
  }

  #handleRackLoss(rack: number): void {
    const first = rack * Placement.WORKERS_PER_RACK;
    const affected = [...this.#jobs.values()].filter((job) =>
      job.slots.some((slot) => Math.floor(slot.worker / 8) === rack)
    );
    this.#setRack(rack, false);
    for (const job of affected) {
      job.run++;
      this.#release(job);
      const progress = this.#saveProgress(job);
      const detail = `rack ${first} was lost`;
      const options = { nowMs: this.#nowMs, progress, detail };
      if (job.shape.repeatable) {
        this.#options.scheduler.requeue(job.shape.id, options);
      } else {
        this.#options.scheduler.finish(job.shape.id);
        this.#statistics.recordExpiry(job.shape);
      }
    }
  }

  #setRack(rack: number, available: boolean): void {
    const first = rack * Placement.WORKERS_PER_RACK;
    for (let i = first; i < first + Placement.WORKERS_PER_RACK; i++) {
      if (this.#options.layout.workers[i] === undefined) continue;
      this.#options.scheduler.setWorkerAvailable(i, available);
    }
  }

  #release(job: SimJob): void {
    this.#occupy(job.slots, false);
    job.slots = [];
  }

  /**
   * Marks accelerators as used or free in the simulation's own index, independent of
   * the scheduler's. Throws OverlapError if two jobs use one accelerator.
   */
  #occupy(slots: readonly Types.Slot[], isUsed: boolean): void {
    for (const { worker, mask } of slots) {
      const used = this.#space.usedMask(worker);
      const expected = isUsed ? 0 : mask;
      if ((used & mask) !== expected) throw new OverlapError(worker);
      this.#space.setUsedMask(worker, isUsed ? used | mask : used & ~mask);
    }
  }
}

/** Thrown when a scheduler places two jobs on one accelerator. */
export class OverlapError extends Error {
  readonly _tag = "OverlapError";
  constructor(worker: number) {
    super(
      `The scheduler placed two jobs on one accelerator of worker ${worker}.`,
    );
  }
}

function toShape(job: traces.TraceJob, index: number): Types.JobShape {
  return {
    id: `job-${index}`,
    team: job.team,
    service: job.service,
    tier: job.tier as Types.Tier,
    accelerators: job.accelerators,
    gang: job.gang,
    adjacency: job.block as Types.Adjacency,
    estimateMs: toMs(job.estimate),
    repeatable: job.repeatable,
    checkpointMs: toMs(job.checkpoint),
    submittedAtMs: job.at * 1000,
    deadlineAtMs: null,
  };
}

function toMs(seconds: number | null | undefined): number | null {
  return seconds === null || seconds === undefined ? null : seconds * 1000;
}
