/** Policies for where a job is placed on free accelerators. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import type * as entries from "./job_entry.ts";

/** Whether a job may use the rack of an index. */
export type RackFilter = (rack: number) => boolean;

/** Scope of a search for free accelerators. */
export interface PackingSearch {
  /** Indices of the racks to search for a place in a single rack. */
  readonly racks: readonly number[];
  readonly allowed: RackFilter;
}

/** Chooses among racks and free blocks. */
export abstract class PackingPolicy {
  /** Rank of a rack; the smallest is best, Infinity if the blocks don't fit. */
  protected abstract rankRack(
    space: Placement.BuddySpace,
    rack: number,
    want: { order: number; count: number },
  ): number;

  /** Slots for the whole job, or null if it does not fit now. */
  find(
    space: Placement.BuddySpace,
    entry: entries.JobEntry,
    search: PackingSearch,
  ): Types.Slot[] | null {
    const { gang, adjacency } = entry.shape;
    if (adjacency === Types.Adjacency.Worker && gang > 1) {
      return this.#findInWorker(space, entry, search);
    }
    const want = { order: entry.order, count: gang };
    const rack = this.#bestRack(space, want, search);
    if (rack >= 0) return space.runTrial(() => takeBlocks(space, rack, want));
    if (adjacency === Types.Adjacency.Rack || gang === 1) return null;
    return space.runTrial(() =>
      this.#findAcrossRacks(space, want, search.allowed)
    );
  }

  #findInWorker(
    space: Placement.BuddySpace,
    entry: entries.JobEntry,
    search: PackingSearch,
  ): Types.Slot[] | null {
    const order = Placement.orderOf(entry.size);
    if (order > Placement.orderOf(Placement.WORKERS_PER_RACK)) return null;
    const rack = this.#bestRack(space, { order, count: 1 }, search);
    if (rack < 0) return null;
    const within = space.smallestFit(rack, order);
    const block = space.findIn(rack, order, within)!;
    return splitBlock(block, entry);
  }

  #bestRack(
    space: Placement.BuddySpace,
    want: { order: number; count: number },
    search: PackingSearch,
  ): number {
    let best = -1;
    let bestRank = Infinity;
    for (const rack of search.racks) {
      if (space.freeInRack(rack) < want.count << want.order) continue;
      const rank = this.rankRack(space, rack, want);
      if (rank >= bestRank || !search.allowed(rack)) continue;
      best = rack;
      bestRank = rank;
    }
    return best;
  }

  /**
   * Uses few racks: takes the rack with the most blocks until the rest fits into
   * one rack, then the best rack for the rest.
   */
  #findAcrossRacks(
    space: Placement.BuddySpace,
    want: { order: number; count: number },
    allowed: RackFilter,
  ): Types.Slot[] | null {
    const slots: Types.Slot[] = [];
    const racks = Array.from({ length: space.rackCount }, (_, rack) => rack);
    let remaining = want.count;
    while (remaining > 0) {
      const rest = { order: want.order, count: remaining };
      const rack = this.#bestRack(space, rest, { racks, allowed });
      const from = rack >= 0
        ? rack
        : rackWithMostBlocks(space, want.order, allowed);
      if (from < 0) return null;
      const count = Math.min(remaining, space.blocksInRack(from, want.order));
      slots.push(...takeBlocks(space, from, { order: want.order, count }));
      remaining -= count;
    }
    return slots;
  }
}

/**
 * Prefers the smallest sufficient block, then the rack with the fewest free
 * accelerators. Small jobs thereby share blocks that are already split.
 */
export class BestFit extends PackingPolicy {
  protected override rankRack(
    space: Placement.BuddySpace,
    rack: number,
    want: { order: number; count: number },
  ): number {
    if (space.blocksInRack(rack, want.order) < want.count) return Infinity;
    const fit = space.smallestFit(rack, want.order);
    return fit * Placement.ACCELERATORS_PER_RACK + space.freeInRack(rack);
  }
}

/** Takes the first rack that has room. */
export class FirstFit extends PackingPolicy {
  protected override rankRack(
    space: Placement.BuddySpace,
    rack: number,
    want: { order: number; count: number },
  ): number {
    if (space.blocksInRack(rack, want.order) < want.count) return Infinity;
    return rack;
  }
}

/** Splits a block into one slot for each member. */
export function splitBlock(
  block: { rack: number; offset: number },
  entry: entries.JobEntry,
): Types.Slot[] {
  const size = Placement.sizeOf(entry.order);
  const slots: Types.Slot[] = [];
  for (let i = 0; i < entry.shape.gang; i++) {
    slots.push(slotAt(block.rack, block.offset + i * size, size));
  }
  return slots;
}

/** Slot of a block that lies on one worker: at most 8 accelerators. */
export function slotAt(
  rack: number,
  offset: number,
  size: number,
): Types.Slot {
  return {
    worker: rack * Placement.WORKERS_PER_RACK + (offset >> 3),
    mask: ((1 << size) - 1) << (offset & 7),
  };
}

function rackWithMostBlocks(
  space: Placement.BuddySpace,
  order: number,
  allowed: RackFilter,
): number {
  let best = -1;
  let most = 0;
  for (let rack = 0; rack < space.rackCount; rack++) {
    const count = space.blocksInRack(rack, order);
    if (count <= most || !allowed(rack)) continue;
    best = rack;
    most = count;
  }
  return best;
}

/** Marks blocks of one rack as used, smallest sufficient ones first. */
function takeBlocks(
  space: Placement.BuddySpace,
  rack: number,
  want: { order: number; count: number },
): Types.Slot[] {
  const slots: Types.Slot[] = [];
  for (let i = 0; i < want.count; i++) {
    const within = space.smallestFit(rack, want.order);
    const block = space.findIn(rack, want.order, within)!;
    const slot = slotAt(rack, block.offset, Placement.sizeOf(want.order));
    space.setUsedMask(slot.worker, space.usedMask(slot.worker) | slot.mask);
    slots.push(slot);
  }
  return slots;
}
