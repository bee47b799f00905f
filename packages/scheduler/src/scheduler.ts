/**
 * The scheduler of one cell. Events change its state; `plan` returns decisions
 * as plain data. It does no I/O and reads no clock: times are arguments.
 */
import * as Types from "@cairngate/types";
import * as consolidations from "./consolidation.ts";
import * as explanations from "./explain.ts";
import type * as allocator from "./allocator.ts";
import * as entries from "./job_entry.ts";
import type * as layouts from "./layout.ts";
import * as occupancies from "./occupancy.ts";
import * as placer from "./placer.ts";
import type * as policies from "./policies.ts";
import * as queues from "./queue.ts";
import * as reservations from "./reservations.ts";
import * as cores from "./scheduler_core.ts";

/** State of a job that was running when the cell was taken over. */
export interface RestoreOptions {
  readonly nowMs: number;
  readonly slots: readonly Types.Slot[];
  readonly progress: number;
}

/** Time between two searches for a rack that can be emptied. */
const CONSOLIDATION_INTERVAL_MS = 20_000;

/** Smallest job, in accelerators, that gets a reservation while it waits. */
const MIN_RESERVED_SIZE = 8;

/** Scheduler of one cell. */
export class Scheduler extends cores.SchedulerCore {
  readonly layout: layouts.CellLayout;
  readonly occupancy: occupancies.Occupancy;
  readonly reservations: reservations.Reservations;
  readonly #policies: policies.SchedulerPolicies;
  readonly #jobs = new Map<string, entries.JobEntry>();
  readonly #queue = new queues.JobQueue();
  readonly #placer: placer.Placer;
  readonly #ready: entries.JobEntry[] = [];
  #consolidatedAtMs = -Infinity;
  #arrivals = 0;

  /** Starts empty, with every worker unavailable. */
  constructor(
    layout: layouts.CellLayout,
    chosen: policies.SchedulerPolicies,
  ) {
    super();
    this.layout = layout;
    this.#policies = chosen;
    this.occupancy = new occupancies.Occupancy(layout);
    const limit = Math.ceil(layout.racks.length * chosen.reservedShare);
    this.reservations = new reservations.Reservations(limit);
    this.#placer = new placer.Placer({
      occupancy: this.occupancy,
      reservations: this.reservations,
      policies: chosen,
    });
  }

  /** A job by id. */
  get(jobId: string): entries.JobEntry | undefined {
    return this.#jobs.get(jobId);
  }

  /** All jobs, waiting and running. */
  jobs(): Iterable<entries.JobEntry> {
    return this.#jobs.values();
  }

  /** Accelerators that a team has in use. */
  usedBy(team: string): number {
    return this.#placer.usedBy(team);
  }

  /** Adds a new job to the queue. */
  override submit(shape: Types.JobShape, options: cores.SubmitOptions): void {
    if (this.#jobs.has(shape.id)) return;
    const entry = entries.createEntry(shape, options.progress ?? 0);
    const detail = `${shape.service} for ${shape.team}`;
    const atMs = options.nowMs;
    entries.addHistory(entry, Types.ReasonKind.Submitted, { atMs, detail });
    this.#jobs.set(shape.id, entry);
    this.#enqueue(entry);
  }

  /** Adds a job that already runs. */
  restore(shape: Types.JobShape, options: RestoreOptions): void {
    if (this.#jobs.has(shape.id)) return;
    const entry = entries.createEntry(shape, options.progress);
    this.#jobs.set(shape.id, entry);
    this.#placer.restore(entry, options.slots, options.nowMs);
  }

  /** Sets whether new work may be placed on a worker. */
  override setWorkerAvailable(worker: number, available: boolean): void {
    this.occupancy.setAvailable(worker, available);
    if (!available) this.#abortClaimsOn(worker);
  }

  /** Removes a job that has ended and frees its accelerators. */
  override finish(jobId: string): void {
    this.#remove(jobId);
  }

  /** Removes a job; true if it was waiting or claiming. */
  cancel(jobId: string): boolean {
    const entry = this.#jobs.get(jobId);
    if (entry === undefined) return false;
    const wasWaiting = entry.state === Types.JobState.Waiting ||
      entry.state === Types.JobState.Claiming;
    this.#remove(jobId);
    return wasWaiting;
  }

  /** Returns a running job that has stopped to the queue. */
  override requeue(jobId: string, options: cores.RequeueOptions): void {
    const entry = this.#jobs.get(jobId);
    if (entry === undefined) return;
    this.#release(entry);
    entry.progress = Math.max(entry.progress, options.progress);
    entry.state = Types.JobState.Waiting;
    entries.addHistory(entry, Types.ReasonKind.Requeued, {
      atMs: options.nowMs,
      detail: options.detail,
    });
    this.#enqueue(entry);
  }

  /** Makes the next plan try all lanes again, also without a release. */
  unblockAll(): void {
    this.#queue.unblockAll();
  }

  /** Decides which jobs start, yield and expire now. */
  override plan(nowMs: number): Types.Decision[] {
    const decisions: Types.Decision[] = [];
    this.#startReady(decisions, nowMs);
    this.#queue.unblockSome(nowMs);
    if (nowMs - this.#consolidatedAtMs >= CONSOLIDATION_INTERVAL_MS) {
      this.#consolidatedAtMs = nowMs;
      this.#consolidate(decisions, nowMs);
    }
    const { releases } = this.occupancy;
    const lanes = this.#queue.unblockedLanes(
      releases,
      (lane) => this.#laneKey(lane),
    );
    for (const lane of lanes) {
      this.#planLane(lane, decisions, nowMs);
    }
    this.#startReady(decisions, nowMs);
    return decisions;
  }

  /** Explains the state of a job; null if the scheduler doesn't have it. */
  explain(jobId: string, nowMs: number): Types.Explanation | null {
    const entry = this.#jobs.get(jobId);
    if (entry === undefined) return null;
    return explanations.explainJob(entry, {
      nowMs,
      layout: this.layout,
      jobs: [...this.#jobs.values()],
      reservations: this.reservations,
      usedBy: (team) => this.usedBy(team),
    });
  }

  /** Moves the jobs of one rack to others while no job waits. */
  #consolidate(decisions: Types.Decision[], nowMs: number): void {
    if (!this.#policies.consolidates || this.#queue.lanes().length > 0) return;
    const { occupancy } = this;
    const { packing } = this.#policies;
    const moved = consolidations.findConsolidation({
      occupancy,
      packing,
      nowMs,
    });
    for (const entry of moved) {
      entry.state = Types.JobState.Yielding;
      const detail = "to make a rack whole";
      entries.addHistory(entry, Types.ReasonKind.Moved, {
        atMs: nowMs,
        detail,
      });
      const kind = Types.DecisionKind.Preempt as const;
      decisions.push({ kind, jobId: entry.shape.id, claimant: null });
    }
  }

  #enqueue(entry: entries.JobEntry): void {
    if (entry.sequence === 0) entry.sequence = ++this.#arrivals;
    entry.key = this.#policies.order.key({
      submittedAtMs: entry.shape.submittedAtMs,
      remainingMs: entries.remainingMs(entry),
      size: entry.size,
    });
    this.#queue.push(entry);
  }

  #laneKey(lane: queues.Lane): number {
    const share = this.#placer.shareInUse(lane.team);
    return lane.head()!.key + share * this.#policies.order.fairShareMs();
  }

  #planLane(
    lane: queues.Lane,
    decisions: Types.Decision[],
    nowMs: number,
  ): void {
    for (;;) {
      const entry = lane.head();
      if (entry === undefined) return;
      if (isExpired(entry, nowMs)) {
        this.#expire(entry, decisions);
        continue;
      }
      const since = lane.isBlockedByQuota ? -1 : lane.blockedAtRelease;
      const racks = this.occupancy.racksReleasedSince(since);
      const placed = this.#placer.place(entry, { nowMs, racks });
      if (placed === null) break;
      lane.pop();
      this.reservations.drop(entry.shape.id, this.occupancy);
      this.#accept(entry, placed, decisions);
    }
    lane.blockedAtRelease = this.occupancy.releases;
    lane.isBlockedByQuota = this.#placer.isOverQuota(lane.head()!);
    this.#reserveFor(lane.head()!, nowMs);
  }

  #reserveFor(entry: entries.JobEntry, nowMs: number): void {
    if (entry.size < MIN_RESERVED_SIZE) return;
    if (this.#placer.isOverQuota(entry)) return;
    this.reservations.reserve(entry, this.occupancy, nowMs);
  }

  #accept(
    entry: entries.JobEntry,
    placed: allocator.PlacedJob,
    decisions: Types.Decision[],
  ): void {
    for (const victim of placed.victims) {
      decisions.push({
        kind: Types.DecisionKind.Preempt,
        jobId: victim.shape.id,
        claimant: entry.shape.id,
      });
    }
    if (entry.victims.size === 0) this.#ready.push(entry);
  }

  #startReady(decisions: Types.Decision[], nowMs: number): void {
    for (const entry of this.#ready.splice(0)) {
      // A worker of the place may have become unavailable since the last victim
      // stopped; the job then waits again.
      if (entry.state !== Types.JobState.Claiming) continue;
      if (entry.victims.size > 0) continue;
      this.#placer.start(entry, nowMs);
      decisions.push({
        kind: Types.DecisionKind.Start,
        jobId: entry.shape.id,
        slots: entry.slots,
        entitlement: entry.entitlement!,
      });
    }
  }

  #expire(entry: entries.JobEntry, decisions: Types.Decision[]): void {
    this.#remove(entry.shape.id);
    decisions.push({
      kind: Types.DecisionKind.Expire,
      jobId: entry.shape.id,
    });
  }

  #remove(jobId: string): void {
    const entry = this.#jobs.get(jobId);
    if (entry === undefined) return;
    this.#release(entry);
    entry.state = Types.JobState.Done;
    this.#jobs.delete(jobId);
    this.reservations.drop(jobId, this.occupancy);
  }

  #release(entry: entries.JobEntry): void {
    const claimant = entry.claimant;
    this.#placer.release(entry);
    if (claimant === null) return;
    claimant.victims.delete(entry);
    if (claimant.state !== Types.JobState.Claiming) return;
    if (claimant.victims.size === 0) this.#ready.push(claimant);
  }

  #abortClaimsOn(worker: number): void {
    for (const entry of this.#jobs.values()) {
      if (entry.state !== Types.JobState.Claiming) continue;
      if (!entry.slots.some((slot) => slot.worker === worker)) continue;
      this.#placer.release(entry);
      entry.state = Types.JobState.Waiting;
      this.#enqueue(entry);
    }
  }
}

function isExpired(entry: entries.JobEntry, nowMs: number): boolean {
  const deadline = entry.shape.deadlineAtMs;
  return deadline !== null && nowMs > deadline;
}
