/** Chooses running jobs to move so that a partly used rack becomes empty. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import type * as packing from "./packing_policy.ts";

/** A rack with more accelerators in use is not emptied. */
const MAX_USED_ACCELERATORS = 16;
/** Jobs that have run for less than this are not moved, in milliseconds. */
const MIN_RUN_MS = 600_000;
/** Largest cost of a move, as a share of the accelerator time that it frees. */
const MAX_COST_SHARE = 0.05;

/** Inputs of a search for jobs to move. */
export interface ConsolidationSearch {
  readonly occupancy: occupancies.Occupancy;
  readonly packing: packing.PackingPolicy;
  readonly nowMs: number;
}

/** Jobs of one rack that fit into other partly used racks; empty if none. */
export function findConsolidation(
  search: ConsolidationSearch,
): entries.JobEntry[] {
  const { space } = search.occupancy;
  const racks = search.occupancy.racksReleasedSince(-1)
    .filter((rack) => isPartlyUsed(space, rack));
  const byFree = [...racks].sort((a, b) =>
    space.freeInRack(b) - space.freeInRack(a)
  );
  for (const rack of byFree) {
    const used = Placement.ACCELERATORS_PER_RACK - space.freeInRack(rack);
    if (used > MAX_USED_ACCELERATORS) return [];
    const others = racks.filter((other) => other !== rack);
    const jobs = movableJobs(rack, search);
    if (jobs !== null && canFitElsewhere(jobs, others, search)) return jobs;
  }
  return [];
}

function isPartlyUsed(space: Placement.BuddySpace, rack: number): boolean {
  const free = space.freeInRack(rack);
  return free > 0 && free < Placement.ACCELERATORS_PER_RACK;
}

/** All jobs of a rack, or null if one can't be moved or the move costs too much. */
function movableJobs(
  rack: number,
  search: ConsolidationSearch,
): entries.JobEntry[] | null {
  const jobs = new Set<entries.JobEntry>();
  const first = rack * Placement.WORKERS_PER_RACK;
  for (let i = first; i < first + Placement.WORKERS_PER_RACK; i++) {
    if (!search.occupancy.isAvailable(i)) return null;
    const slot = { worker: i, mask: Placement.FULL_MASK };
    if (search.occupancy.isClaimed(slot)) return null;
    for (const job of search.occupancy.tasksIn(slot)) jobs.add(job);
  }
  const all = [...jobs];
  const isMovable = all.length > 0 &&
    all.every((job) => mayMove(job, rack, search.nowMs));
  return isMovable && isJustified(all, search.nowMs) ? all : null;
}

function mayMove(
  job: entries.JobEntry,
  rack: number,
  nowMs: number,
): boolean {
  const isInside = job.slots.every((slot) =>
    Math.floor(slot.worker / Placement.WORKERS_PER_RACK) === rack
  );
  return isInside && entries.canYield(job) &&
    job.shape.checkpointMs !== null &&
    job.shape.tier !== Types.Tier.Urgent &&
    nowMs - job.startedAtMs >= MIN_RUN_MS;
}

function isJustified(
  jobs: readonly entries.JobEntry[],
  nowMs: number,
): boolean {
  let cost = 0;
  let longest = 0;
  for (const job of jobs) {
    cost += entries.yieldCost(job, nowMs);
    const left = entries.estimatedEndMs(job, nowMs) - nowMs;
    longest = Math.max(longest, left);
  }
  return cost < MAX_COST_SHARE * longest * Placement.ACCELERATORS_PER_RACK;
}

function canFitElsewhere(
  jobs: readonly entries.JobEntry[],
  racks: readonly number[],
  search: ConsolidationSearch,
): boolean {
  const { space } = search.occupancy;
  const allowed = (rack: number) => racks.includes(rack);
  const largestFirst = [...jobs].sort((a, b) => b.size - a.size);
  return space.runTrial(() =>
    largestFirst.every((job) => {
      const slots = search.packing.find(space, job, { racks, allowed });
      for (const { worker, mask } of slots ?? []) {
        space.setUsedMask(worker, space.usedMask(worker) | mask);
      }
      return slots !== null;
    })
  );
}
