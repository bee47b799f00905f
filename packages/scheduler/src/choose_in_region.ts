/** Chooses slots inside one block of a team's guarantee. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import * as packing from "./packing_policy.ts";

/** Scope of a search for a guaranteed place. */
export interface GuaranteedSearch {
  readonly occupancy: occupancies.Occupancy;
  readonly nowMs: number;
  /** Whether running jobs may be preempted. */
  readonly mayPreempt: boolean;
  /** Indices of the racks to search. */
  readonly racks: readonly number[];
}

/** Sub-blocks chosen in one region, with the cost of preempting their jobs. */
export interface RegionChoice {
  readonly slots: Types.Slot[];
  readonly victims: Set<entries.JobEntry>;
  /** In accelerator-milliseconds. */
  readonly cost: number;
}

/** The cheapest sub-blocks of a region for `members` members; null if too few. */
export function chooseInRegion(
  entry: entries.JobEntry,
  members: number,
  search: GuaranteedSearch & { region: Placement.BlockPosition },
): RegionChoice | null {
  const { region } = search;
  const size = Placement.sizeOf(entry.order);
  if (members * size > Placement.sizeOf(region.order)) return null;
  const candidates: { slot: Types.Slot; cost: number }[] = [];
  const end = region.offset + Placement.sizeOf(region.order);
  for (let offset = region.offset; offset < end; offset += size) {
    const slot = packing.slotAt(region.rack, offset, size);
    const cost = costOfSlot(entry, slot, search);
    if (cost !== null) candidates.push({ slot, cost });
  }
  if (candidates.length < members) return null;
  candidates.sort((a, b) => a.cost - b.cost);
  return toChoice(candidates.slice(0, members), search);
}

function toChoice(
  chosen: { slot: Types.Slot; cost: number }[],
  search: GuaranteedSearch,
): RegionChoice {
  const victims = new Set<entries.JobEntry>();
  for (const { slot } of chosen) {
    for (const victim of search.occupancy.tasksIn(slot)) victims.add(victim);
  }
  let cost = 0;
  for (const victim of victims) cost += entries.yieldCost(victim, search.nowMs);
  return { slots: chosen.map((c) => c.slot), victims, cost };
}

/** Cost of clearing a slot, in accelerator-milliseconds; null if it can't be used. */
function costOfSlot(
  entry: entries.JobEntry,
  slot: Types.Slot,
  search: GuaranteedSearch,
): number | null {
  const { occupancy, nowMs } = search;
  if (!occupancy.isAvailable(slot.worker)) return null;
  if (occupancy.layout.workers[slot.worker] === undefined) return null;
  const free = (occupancy.space.usedMask(slot.worker) & slot.mask) === 0;
  if (free) return 0;
  if (!search.mayPreempt) return null;
  if (occupancy.isClaimed(slot)) return null;
  let cost = 0;
  const victims = occupancy.tasksIn(slot);
  if (victims.length === 0) return null;
  for (const victim of victims) {
    if (!mustYieldTo(victim, entry)) return null;
    cost += entries.yieldCost(victim, nowMs);
  }
  return cost;
}

/** Whether a running job has to yield to a claim on a guarantee. */
export function mustYieldTo(
  victim: entries.JobEntry,
  claimant: entries.JobEntry,
): boolean {
  if (!entries.canYield(victim)) return false;
  if (victim.entitlement === Types.Entitlement.Opportunistic) return true;
  if (victim.shape.team !== claimant.shape.team) return false;
  return Types.rankTier(victim.shape.tier) >
    Types.rankTier(claimant.shape.tier);
}
