/** Where a job is placed on free accelerators. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import type * as entries from "./job_entry.ts";

/** Decides for a rack whether a job may use it. */
export type RackFilter = (rack: number) => boolean;

/** Where to look. */
export interface PackingSearch {
  readonly racks: readonly number[];
  readonly allowed: RackFilter;
}

/** Chooses among racks and blocks that are free. */
export abstract class PackingPolicy {
  /** Smaller is better; Infinity where the blocks do not fit in the rack. */
  protected abstract rankRack(
    space: Placement.BuddySpace,
    rack: number,
    want: { order: number; count: number },
  ): number;

  /** Slots for the whole job, or null where it does not fit now. */
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

  /** Few racks: the fullest contribution first, the rest in one best rack. */
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
 * Smallest sufficient block first, then the rack with the least room left:
 * small jobs stay in blocks that are already broken.
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

/** The first rack with room. */
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

/** Cuts a block into one slot for each member. */
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

/** The slot of a block of at most 8 accelerators. */
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

/** Takes blocks of one rack, smallest sufficient ones first. */
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
