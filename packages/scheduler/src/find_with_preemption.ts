/** Finds the cheapest place for a job that preemption can free. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import * as packing from "./packing_policy.ts";

/** A place, the jobs to preempt for it and the cost of doing so. */
export interface PreemptionPlace {
  readonly slots: Types.Slot[];
  readonly victims: Set<entries.JobEntry>;
  /** In accelerator-milliseconds. */
  readonly cost: number;
}

/** Scope of a search with preemption. */
export interface PreemptionSearch {
  readonly occupancy: occupancies.Occupancy;
  readonly nowMs: number;
  readonly mayPreempt: (victim: entries.JobEntry) => boolean;
  readonly allowed: packing.RackFilter;
  /** Indices of the racks to search. */
  readonly racks: readonly number[];
}

interface SlotCandidate {
  readonly slot: Types.Slot;
  readonly cost: number;
}

/** The cheapest place within a single rack; null if no rack can be cleared. */
export function findWithPreemption(
  entry: entries.JobEntry,
  search: PreemptionSearch,
): PreemptionPlace | null {
  let best: PreemptionPlace | null = null;
  for (const rack of search.racks) {
    if (!search.allowed(rack)) continue;
    const place = cheapestInRack(entry, rack, search);
    if (place === null) continue;
    if (best === null || place.cost < best.cost) best = place;
  }
  return best;
}

function cheapestInRack(
  entry: entries.JobEntry,
  rack: number,
  search: PreemptionSearch,
): PreemptionPlace | null {
  const { gang, adjacency } = entry.shape;
  if (adjacency !== Types.Adjacency.Worker || gang === 1) {
    return cheapestSlots(entry, listCandidates(entry, rack, search), search);
  }
  let best: PreemptionPlace | null = null;
  const first = rack * Placement.WORKERS_PER_RACK;
  const candidates = listCandidates(entry, rack, search);
  for (let i = 0; i < Placement.WORKERS_PER_RACK; i++) {
    const inWorker = candidates.filter((p) => p.slot.worker === first + i);
    const place = cheapestSlots(entry, inWorker, search);
    if (place !== null && (best === null || place.cost < best.cost)) {
      best = place;
    }
  }
  return best;
}

function listCandidates(
  entry: entries.JobEntry,
  rack: number,
  search: PreemptionSearch,
): SlotCandidate[] {
  const size = Placement.sizeOf(entry.order);
  const candidates: SlotCandidate[] = [];
  for (let at = 0; at < Placement.ACCELERATORS_PER_RACK; at += size) {
    const slot = packing.slotAt(rack, at, size);
    const cost = costOfSlot(slot, search);
    if (cost !== null) candidates.push({ slot, cost });
  }
  return candidates;
}

function costOfSlot(slot: Types.Slot, search: PreemptionSearch): number | null {
  const { occupancy, nowMs } = search;
  if (!occupancy.isAvailable(slot.worker)) return null;
  if ((occupancy.space.usedMask(slot.worker) & slot.mask) === 0) return 0;
  if (occupancy.isClaimed(slot)) return null;
  const victims = occupancy.tasksIn(slot);
  if (victims.length === 0) return null;
  let cost = 0;
  for (const victim of victims) {
    if (!entries.canYield(victim) || !search.mayPreempt(victim)) return null;
    cost += entries.yieldCost(victim, nowMs);
  }
  return cost;
}

function cheapestSlots(
  entry: entries.JobEntry,
  candidates: SlotCandidate[],
  search: PreemptionSearch,
): PreemptionPlace | null {
  if (candidates.length < entry.shape.gang) return null;
  candidates.sort((a, b) => a.cost - b.cost);
  const slots = candidates.slice(0, entry.shape.gang).map((p) => p.slot);
  const victims = new Set<entries.JobEntry>();
  for (const slot of slots) {
    for (const victim of search.occupancy.tasksIn(slot)) victims.add(victim);
  }
  let cost = 0;
  for (const victim of victims) cost += entries.yieldCost(victim, search.nowMs);
  return { slots, victims, cost };
}
