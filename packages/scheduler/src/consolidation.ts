/** Chooses work to move so that a rack becomes whole again. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import type * as packing from "./packing_policy.ts";

/** Racks with more in use than this are left as they are. */
const MAX_USED_ACCELERATORS = 16;
/** Work that started less than this ago is not moved again. */
const MIN_RUN_MS = 600_000;
/** Largest part of the gained rack time that the move may cost. */
const MAX_COST_SHARE = 0.05;

/** What a consolidation looks at. */
export interface ConsolidationSearch {
  readonly occupancy: occupancies.Occupancy;
  readonly packing: packing.PackingPolicy;
  readonly nowMs: number;
}

/** The work of one rack that fits into other racks in use; empty if none. */
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

/** All jobs of a rack, or null where one of them has to stay. */
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
