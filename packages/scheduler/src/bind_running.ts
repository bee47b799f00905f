/** Binds guaranteed blocks to the place of a job that already has its slots. */
import * as Placement from "@cairngate/placement";
import type * as Types from "@cairngate/types";
import type * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";

/**
 * Ids of the bound block that contains each slot of a job, or null if the
 * guarantee of its team does not cover one of the slots. Used for jobs that are
 * restored at a takeover, and for places that the packing policy chose.
 */
export function bindRunning(
  entry: entries.JobEntry,
  occupancy: occupancies.Occupancy,
): number[] | null {
  const boundIds: number[] = [];
  for (const slot of entry.slots) {
    const id = findBoundBlock(entry, slot, occupancy) ??
      bindNewBlock(entry, slot, occupancy);
    if (id === null) {
      releaseBlocks(boundIds, entry, occupancy);
      return null;
    }
    // The job is added at once so that the block stays bound for later slots.
    occupancy.tracker.addJob(id, entry.shape.id, 0);
    boundIds.push(id);
  }
  return boundIds;
}

function releaseBlocks(
  boundIds: readonly number[],
  entry: entries.JobEntry,
  occupancy: occupancies.Occupancy,
): void {
  for (const id of new Set(boundIds)) {
    const rack = occupancy.tracker.get(id)?.rack;
    occupancy.tracker.removeJob(id, entry.shape.id);
    if (rack !== undefined) occupancy.refreshRack(rack);
  }
}

function findBoundBlock(
  entry: entries.JobEntry,
  slot: Types.Slot,
  occupancy: occupancies.Occupancy,
): number | null {
  const place = locate(slot);
  for (const bound of occupancy.tracker.boundOf(entry.shape.team)) {
    const size = Placement.sizeOf(bound.order);
    const isInside = bound.rack === place.rack &&
      bound.offset <= place.offset && place.offset < bound.offset + size;
    if (isInside) return bound.id;
  }
  return null;
}

function bindNewBlock(
  entry: entries.JobEntry,
  slot: Types.Slot,
  occupancy: occupancies.Occupancy,
): number | null {
  const { tracker } = occupancy;
  const unbound = tracker.unboundOf(entry.shape.team);
  const place = locate(slot);
  const jobOrder = Placement.orderOf(entry.size);
  const orders = [jobOrder, ...range(entry.order, Placement.LARGEST_ORDER)];
  for (const order of orders) {
    if (!(unbound[order] > 0)) continue;
    const offset = place.offset & ~(Placement.sizeOf(order) - 1);
    const position = { rack: place.rack, offset, order };
    if (!tracker.space.isFree(position)) continue;
    if (!tracker.holdsAfterBinding(position)) continue;
    const bound = tracker.bind(entry.shape.team, position);
    occupancy.refreshRack(place.rack);
    return bound.id;
  }
  return null;
}

function locate(slot: Types.Slot): { rack: number; offset: number } {
  const rack = Math.floor(slot.worker / Placement.WORKERS_PER_RACK);
  const inRack = slot.worker % Placement.WORKERS_PER_RACK;
  const lowestBit = 31 - Math.clz32(slot.mask & -slot.mask);
  return { rack, offset: inRack * 8 + lowestBit };
}

function range(first: number, last: number): number[] {
  const numbers: number[] = [];
  for (let n = first; n <= last; n++) numbers.push(n);
  return numbers;
}
