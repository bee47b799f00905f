/** Chooses places inside one block of a team's guarantee. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import * as packing from "./packing_policy.ts";

/** Where and when to search. */
export interface GuaranteedSearch {
  readonly occupancy: occupancies.Occupancy;
  readonly nowMs: number;
  /** Whether running work may be made to yield. */
  readonly mayPreempt: boolean;
  /** Racks to look at. */
  readonly racks: readonly number[];
}

/** A choice of sub-blocks in one region, with its price. */
export interface RegionChoice {
  readonly slots: Types.Slot[];
  readonly victims: Set<entries.JobEntry>;
  readonly cost: number;
}

/** The cheapest sub-blocks of a region for a number of members. */
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

/** Null where the slot cannot be had. */
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

/** Whether running work has to give way to a claim on a guarantee. */
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
