/** Statistics of a simulated run; docs/MEASURES.md defines them. */
import * as Metrics from "@cairngate/metrics";
import * as Placement from "@cairngate/placement";
import type * as Types from "@cairngate/types";
import type * as traces from "./traces.ts";

/** Completion times of the jobs of one tier, in seconds. */
export interface TierSummary {
  readonly jobs: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  /** Mean ÷ mean duration of the same jobs, each alone on an empty cell. */
  readonly overLowerBound: number;
}

/** Results of one policy. */
export interface Summary {
  readonly completion: Readonly<Record<string, TierSummary>>;
  /** Time average by block size, while at least one block's worth is free. */
  readonly fragmentation: Readonly<Record<string, number>>;
  /** Mean completion time in seconds by team. */
  readonly teams: Readonly<Record<string, number>>;
  /** Longest wait of a gang while enough accelerators were free in total. */
  readonly gangWaitMaxS: number;
  readonly preemptions: number;
  readonly lostAcceleratorHours: number;
  readonly reclaimMaxS: number;
  readonly reclaimP99S: number;
  readonly utilisation: number;
  readonly makespanH: number;
  readonly decisionsPerSecond: number;
  readonly planP50Ms: number;
  readonly planP99Ms: number;
  /** Largest sampled heap. */
  readonly heapPeakMb: number;
  readonly ended: number;
  readonly expired: number;
}

interface GangWait {
  readonly size: number;
  waitedMs: number;
}

/** Collects statistics during a simulated run. */
export class RunStatistics {
  readonly #space: Placement.BuddySpace;
  readonly #durations = new Map<string, number>();
  readonly #completions = new Map<string, number[]>();
  readonly #lowerBounds = new Map<string, number>();
  readonly #teams = new Map<string, number[]>();
  readonly #fragmentation = new Map<number, { sum: number; time: number }>();
  readonly #gangs = new Map<string, GangWait>();
  readonly #planTimes = new Metrics.Metrics();
  readonly #reclaims: number[] = [];
  readonly #capacity: number;
  #nowMs = 0;
  #lastArrivalMs = 0;
  #busyMs = 0;
  #gangWaitMaxMs = 0;
  #preemptions = 0;
  #lostMs = 0;
  #decisions = 0;
  #planMs = 0;
  #ended = 0;
  #expired = 0;

  constructor(
    space: Placement.BuddySpace,
    jobs: readonly traces.TraceJob[],
  ) {
    this.#space = space;
    this.#capacity = space.freeTotal();
    jobs.forEach((job, i) => {
      this.#durations.set(`job-${i}`, job.duration);
      this.#lastArrivalMs = Math.max(this.#lastArrivalMs, job.at * 1000);
    });
  }

  /** Advances the clock and adds up the state of the racks, unchanged until `nowMs`. */
  advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#nowMs;
    if (elapsedMs <= 0) return;
    const free = this.#space.freeTotal();
    if (this.#nowMs <= this.#lastArrivalMs) {
      this.#busyMs += (this.#capacity - free) * elapsedMs;
      this.#addFragmentation(elapsedMs);
    }
    for (const gang of this.#gangs.values()) {
      if (gang.size <= free) gang.waitedMs += elapsedMs;
    }
    this.#nowMs = nowMs;
  }

  /** Starts the wait of a gang that arrives. */
  recordArrival(shape: Types.JobShape): void {
    if (shape.gang === 1) return;
    const size = shape.gang * shape.accelerators;
    this.#gangs.set(shape.id, { size, waitedMs: 0 });
  }

  /** Ends a gang's wait; a claim of guaranteed capacity is timed from `claimedAtMs`. */
  recordStart(
    shape: Types.JobShape,
    nowMs: number,
    claimedAtMs: number | null,
  ): void {
    const gang = this.#gangs.get(shape.id);
    if (gang !== undefined) {
      this.#gangWaitMaxMs = Math.max(this.#gangWaitMaxMs, gang.waitedMs);
      this.#gangs.delete(shape.id);
    }
    if (claimedAtMs !== null) this.#reclaims.push(nowMs - claimedAtMs);
  }

  /** Adds the completion time of a job. */
  recordEnd(shape: Types.JobShape, nowMs: number): void {
    const seconds = (nowMs - shape.submittedAtMs) / 1000;
    const lowerBound = this.#durations.get(shape.id)!;
    append(this.#completions, shape.tier, seconds);
    append(this.#completions, "all", seconds);
    append(this.#teams, shape.team, seconds);
    for (const tier of [shape.tier, "all"]) {
      this.#lowerBounds.set(
        tier,
        (this.#lowerBounds.get(tier) ?? 0) + lowerBound,
      );
    }
    this.#ended++;
  }

  /** Counts a job that ended without completing. */
  recordExpiry(_shape: Types.JobShape): void {
    this.#expired++;
  }

  /** Counts a job that was stopped for another; a gang starts to wait anew. */
  recordPreemption(shape: Types.JobShape, nowMs: number): void {
    this.#preemptions++;
    if (shape.gang === 1) return;
    const size = shape.gang * shape.accelerators;
    this.#gangs.set(shape.id, { size, waitedMs: 0 });
    this.#nowMs = Math.max(this.#nowMs, nowMs);
  }

  /** Adds the run time of a job that was not checkpointed and has to be repeated. */
  recordLostWork(shape: Types.JobShape, ms: number): void {
    this.#lostMs += ms * shape.gang * shape.accelerators;
  }

  /** Adds a planning round that took `ms` and made some decisions. */
  recordPlan(ms: number, decisions: number): void {
    this.#planTimes.observeMs("plan", ms);
    this.#planMs += ms;
    this.#decisions += decisions;
  }

  /** Returns all statistics at the end of the run. */
  summarize(heapPeakMb: number): Summary {
    const completion: Record<string, TierSummary> = {};
    for (const [tier, seconds] of this.#completions) {
      completion[tier] = this.#summarizeTier(tier, seconds);
    }
    const fragmentation: Record<string, number> = {};
    for (const [block, { sum, time }] of this.#fragmentation) {
      fragmentation[block] = time === 0 ? 0 : sum / time;
    }
    const teams: Record<string, number> = {};
    for (const [team, seconds] of this.#teams) teams[team] = mean(seconds);
    const reclaims = [...this.#reclaims].sort((a, b) => a - b);
    return {
      completion,
      fragmentation,
      teams,
      gangWaitMaxS: this.#gangWaitMaxMs / 1000,
      preemptions: this.#preemptions,
      lostAcceleratorHours: this.#lostMs / 3_600_000,
      reclaimMaxS: (reclaims.at(-1) ?? 0) / 1000,
      reclaimP99S: percentile(reclaims, 0.99) / 1000,
      utilisation: this.#busyMs / this.#capacity /
        Math.max(1, this.#lastArrivalMs),
      makespanH: this.#nowMs / 3_600_000,
      decisionsPerSecond: this.#decisions / (this.#planMs / 1000),
      planP50Ms: this.#planTimes.quantileMs("plan", 50),
      planP99Ms: this.#planTimes.quantileMs("plan", 99),
      heapPeakMb,
      ended: this.#ended,
      expired: this.#expired,
    };
  }

  #summarizeTier(tier: string, seconds: readonly number[]): TierSummary {
    const sorted = [...seconds].sort((a, b) => a - b);
    const lowerBound = this.#lowerBounds.get(tier)! / seconds.length;
    return {
      jobs: seconds.length,
      mean: mean(seconds),
      p50: percentile(sorted, 0.5),
      p95: percentile(sorted, 0.95),
      p99: percentile(sorted, 0.99),
      overLowerBound: mean(seconds) / lowerBound,
    };
  }

  #addFragmentation(elapsedMs: number): void {
    for (
      const { block, value } of Placement.computeFragmentation(this.#space)
    ) {
      if (value === null) continue;
      const total = this.#fragmentation.get(block) ?? { sum: 0, time: 0 };
      total.sum += value * elapsedMs;
      total.time += elapsedMs;
      this.#fragmentation.set(block, total);
    }
  }
}

function append(
  lists: Map<string, number[]>,
  name: string,
  value: number,
): void {
  const list = lists.get(name);
  if (list === undefined) lists.set(name, [value]);
  else list.push(value);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, v) => sum + v, 0) / Math.max(1, values.length);
}

function percentile(sorted: readonly number[], share: number): number {
  if (sorted.length === 0) return 0;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}
