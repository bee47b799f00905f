/**
 * Finds a place for a job inside its team's guarantee, and the jobs to preempt
 * there. A bound block without preemption is preferred to a new binding; else
 * the cheaper of the two is taken.
 */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as regions from "./choose_in_region.ts";
import type * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";

/** A place inside the guarantee of a team. */
export interface GuaranteedPlace {
  readonly slots: Types.Slot[];
  /** Id of the bound block of each slot. */
  readonly boundIds: number[];
  readonly victims: Set<entries.JobEntry>;
}

interface Candidate extends regions.RegionChoice {
  readonly position: Placement.BlockPosition;
}

/** Bindings tried per order, or per rack if nothing may be preempted. */
const MAX_BINDING_TRIALS = 24;

/**
 * Finds a place and binds the blocks it needs. The caller has to add the job to
 * these blocks or unbind them with `unbindEmptyBlocks`.
 */
export function findGuaranteedPlace(
  entry: entries.JobEntry,
  search: regions.GuaranteedSearch,
): GuaranteedPlace | null {
  const inOneBlock = findInOneRegion(entry, entry.shape.gang, search);
  if (inOneBlock !== null) return inOneBlock;
  if (entry.shape.gang === 1) return null;
  if (entry.shape.adjacency !== Types.Adjacency.Any) return null;
  // The members may be in several racks: all racks are searched, since a
  // release in one may complete a place that includes unchanged racks.
  const racks = search.occupancy.racksReleasedSince(-1);
  return findMemberByMember(entry, { ...search, racks });
}

/** Unbinds those of the given blocks that contain no job. */
export function unbindEmptyBlocks(
  occupancy: occupancies.Occupancy,
  boundIds: readonly number[],
): void {
  for (const id of boundIds) {
    const bound = occupancy.tracker.get(id);
    if (bound === undefined || bound.jobs.size > 0) continue;
    occupancy.tracker.removeJob(id, "");
    occupancy.refreshRack(bound.rack);
  }
}

function findInOneRegion(
  entry: entries.JobEntry,
  members: number,
  search: regions.GuaranteedSearch,
): GuaranteedPlace | null {
  const bound = findInBound(entry, members, search);
  if (bound !== null && bound.cost === 0) return toPlace(bound, bound.id);
  const fresh = findNewBinding(entry, members, search);
  if (fresh !== null && (bound === null || fresh.cost < bound.cost)) {
    const { tracker } = search.occupancy;
    const block = tracker.bind(entry.shape.team, fresh.position);
    search.occupancy.refreshRack(block.rack);
    return toPlace(fresh, block.id);
  }
  return bound === null ? null : toPlace(bound, bound.id);
}

function toPlace(
  choice: regions.RegionChoice,
  boundId: number,
): GuaranteedPlace {
  const { slots, victims } = choice;
  return { slots, victims, boundIds: slots.map(() => boundId) };
}

function findMemberByMember(
  entry: entries.JobEntry,
  search: regions.GuaranteedSearch,
): GuaranteedPlace | null {
  const { occupancy } = search;
  const slots: Types.Slot[] = [];
  const boundIds: number[] = [];
  const victims = new Set<entries.JobEntry>();
  for (let i = 0; i < entry.shape.gang; i++) {
    const place = findInOneRegion(entry, 1, search);
    if (place === null) break;
    // Claims the slots so that the search for the next member skips them.
    occupancy.claim(entry, place.slots);
    slots.push(...place.slots);
    boundIds.push(...place.boundIds);
    for (const victim of place.victims) victims.add(victim);
  }
  entry.slots = slots;
  occupancy.unclaim(entry);
  entry.slots = [];
  if (slots.length === entry.shape.gang) return { slots, boundIds, victims };
  unbindEmptyBlocks(occupancy, boundIds);
  return null;
}

function findInBound(
  entry: entries.JobEntry,
  members: number,
  search: regions.GuaranteedSearch,
): (regions.RegionChoice & { id: number }) | null {
  let best: (regions.RegionChoice & { id: number }) | null = null;
  for (const bound of search.occupancy.tracker.boundOf(entry.shape.team)) {
    if (!search.racks.includes(bound.rack)) continue;
    const choice = regions.chooseInRegion(entry, members, {
      ...search,
      region: bound,
    });
    if (choice === null) continue;
    if (best === null || choice.cost < best.cost) {
      best = { ...choice, id: bound.id };
    }
  }
  return best;
}

function findNewBinding(
  entry: entries.JobEntry,
  members: number,
  search: regions.GuaranteedSearch,
): Candidate | null {
  const unbound = search.occupancy.tracker.unboundOf(entry.shape.team);
  const minOrder = Math.max(
    entry.order,
    Placement.orderOf(members << entry.order),
  );
  for (let order = minOrder; order <= Placement.LARGEST_ORDER; order++) {
    if (!(unbound[order] > 0)) continue;
    const found = bestBinding(entry, members, { ...search, order });
    if (found !== null) return found;
  }
  return null;
}

function bestBinding(
  entry: entries.JobEntry,
  members: number,
  search: regions.GuaranteedSearch & { order: number },
): Candidate | null {
  const { tracker } = search.occupancy;
  // If the guarantees are infeasible already, this one may still be used.
  const mayBind = tracker.holds()
    ? (found: Candidate) => tracker.holdsAfterBinding(found.position)
    : () => true;
  if (!search.mayPreempt) {
    return firstFreeBinding(entry, members, search, mayBind);
  }
  const candidates = rankRacks(entry, members, search)
    .flatMap((rack) => listInRack(entry, members, { ...search, ...rack }));
  candidates.sort((a, b) => a.cost - b.cost);
  return candidates.slice(0, MAX_BINDING_TRIALS).find(mayBind) ?? null;
}

/** A binding in the best rack that has room for the job without preemption. */
function firstFreeBinding(
  entry: entries.JobEntry,
  members: number,
  search: regions.GuaranteedSearch & { order: number },
  mayBind: (found: Candidate) => boolean,
): Candidate | null {
  for (const rack of rankRacks(entry, members, search)) {
    const found = listInRack(entry, members, { ...search, ...rack });
    found.sort((a, b) => a.cost - b.cost);
    const usable = found.slice(0, MAX_BINDING_TRIALS).find(mayBind);
    if (usable !== undefined) return usable;
  }
  return null;
}

interface RankedRack {
  readonly rack: number;
  /** Order of the smallest free block in which the guarantee can be bound. */
  readonly fit: number;
  /** Smaller is better. */
  readonly rank: number;
}

/** Racks in which a block can be bound, best first. */
function rankRacks(
  entry: entries.JobEntry,
  members: number,
  search: regions.GuaranteedSearch & { order: number },
): RankedRack[] {
  const { tracker, space } = search.occupancy;
  const ranked: RankedRack[] = [];
  for (const rack of search.racks) {
    const fit = tracker.space.smallestFit(rack, search.order);
    if (fit < 0) continue;
    const hasRoom = space.blocksInRack(rack, entry.order) >= members;
    if (!search.mayPreempt && !hasRoom) continue;
    // Prefers to split the smallest free block for the job, then the smallest
    // one for the binding, then the rack with the fewest free accelerators.
    const splitOrder = space.smallestFit(rack, entry.order);
    const rank = splitOrder * 1e4 + fit * 1e2 + space.freeInRack(rack);
    ranked.push({ rack, fit, rank });
  }
  return ranked.sort((a, b) => a.rank - b.rank);
}

function listInRack(
  entry: entries.JobEntry,
  members: number,
  search: regions.GuaranteedSearch & { order: number; rack: number },
): Candidate[] {
  const { rack, order, occupancy } = search;
  const found: Candidate[] = [];
  const step = Placement.sizeOf(order);
  for (
    let offset = 0;
    offset < Placement.ACCELERATORS_PER_RACK;
    offset += step
  ) {
    const position = { rack, offset, order };
    if (!occupancy.tracker.space.isFree(position)) continue;
    const choice = regions.chooseInRegion(entry, members, {
      ...search,
      region: position,
    });
    if (choice === null) continue;
    // Breaks ties in favour of a block that is already partly used.
    const isWhole = occupancy.space.isFree(position) ? 1 : 0;
    found.push({ ...choice, cost: choice.cost + isWhole * 1e-3, position });
  }
  return found;
}
