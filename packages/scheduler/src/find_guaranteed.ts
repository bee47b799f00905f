/**
 * Finds a place for a job inside its team's guaranteed shape, and the work
 * that has to yield there. Bound blocks come first, then a new binding.
 */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import * as packing from "./packing_policy.ts";

/** A place within the guarantee. */
export interface GuaranteedPlace {
  readonly slots: Types.Slot[];
  readonly boundIds: number[];
  readonly victims: Set<entries.JobEntry>;
}

/** Where and when to search. */
export interface GuaranteedSearch {
  readonly occupancy: occupancies.Occupancy;
  readonly nowMs: number;
  /** Whether running work may be made to yield. */
  readonly mayEvict: boolean;
}

/** A choice of sub-blocks in one region, with its price. */
interface RegionChoice {
  readonly slots: Types.Slot[];
  readonly victims: Set<entries.JobEntry>;
  readonly cost: number;
}

interface Candidate extends RegionChoice {
  readonly position: Placement.BlockPosition;
}

/** Trial bindings before the search gives up on one order. */
const BINDING_TRIES = 24;

/**
 * Finds a place and binds the blocks it needs. The caller has to enter the
 * job into them, or release them with `dropEmptyBlocks`.
 */
export function findGuaranteedPlace(
  entry: entries.JobEntry,
  search: GuaranteedSearch,
): GuaranteedPlace | null {
  const whole = findInOneRegion(entry, entry.shape.gang, search);
  if (whole !== null) return whole;
  if (entry.shape.gang === 1) return null;
  if (entry.shape.adjacency !== Types.Adjacency.Any) return null;
  return findMemberByMember(entry, search);
}

/** Unbinds the blocks of a place that no job has entered. */
export function dropEmptyBlocks(
  occupancy: occupancies.Occupancy,
  boundIds: readonly number[],
): void {
  for (const id of boundIds) {
    const bound = occupancy.ledger.get(id);
    if (bound === undefined || bound.jobs.size > 0) continue;
    occupancy.ledger.leave(id, "");
    occupancy.refreshRack(bound.rack);
  }
}

function findInOneRegion(
  entry: entries.JobEntry,
  members: number,
  search: GuaranteedSearch,
): GuaranteedPlace | null {
  const bound = findInBound(entry, members, search);
  if (bound !== null && bound.cost === 0) return toPlace(bound, bound.id);
  const fresh = findNewBinding(entry, members, search);
  if (fresh !== null && (bound === null || fresh.cost < bound.cost)) {
    const { ledger } = search.occupancy;
    const block = ledger.bind(entry.shape.team, fresh.position);
    search.occupancy.refreshRack(block.rack);
    return toPlace(fresh, block.id);
  }
  return bound === null ? null : toPlace(bound, bound.id);
}

function toPlace(choice: RegionChoice, boundId: number): GuaranteedPlace {
  const { slots, victims } = choice;
  return { slots, victims, boundIds: slots.map(() => boundId) };
}

function findMemberByMember(
  entry: entries.JobEntry,
  search: GuaranteedSearch,
): GuaranteedPlace | null {
  const { occupancy } = search;
  const slots: Types.Slot[] = [];
  const boundIds: number[] = [];
  const victims = new Set<entries.JobEntry>();
  for (let i = 0; i < entry.shape.gang; i++) {
    const place = findInOneRegion(entry, 1, search);
    if (place === null) break;
    // The claim keeps the next member away from this one's place.
    occupancy.claim(entry, place.slots);
    slots.push(...place.slots);
    boundIds.push(...place.boundIds);
    for (const victim of place.victims) victims.add(victim);
  }
  entry.slots = slots;
  occupancy.unclaim(entry);
  entry.slots = [];
  if (slots.length === entry.shape.gang) return { slots, boundIds, victims };
  dropEmptyBlocks(occupancy, boundIds);
  return null;
}

function findInBound(
  entry: entries.JobEntry,
  members: number,
  search: GuaranteedSearch,
): (RegionChoice & { id: number }) | null {
  let best: (RegionChoice & { id: number }) | null = null;
  for (const bound of search.occupancy.ledger.boundOf(entry.shape.team)) {
    const choice = chooseInRegion(entry, members, { ...search, region: bound });
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
  search: GuaranteedSearch,
): Candidate | null {
  const unbound = search.occupancy.ledger.unboundOf(entry.shape.team);
  const least = Math.max(
    entry.order,
    Placement.orderOf(members << entry.order),
  );
  for (let order = least; order <= Placement.LARGEST_ORDER; order++) {
    if (!(unbound[order] > 0)) continue;
    const found = bestBinding(entry, members, { ...search, order });
    if (found !== null) return found;
  }
  return null;
}

function bestBinding(
  entry: entries.JobEntry,
  members: number,
  search: GuaranteedSearch & { order: number },
): Candidate | null {
  const candidates = listBindings(entry, members, search);
  candidates.sort((a, b) => a.cost - b.cost);
  const { ledger } = search.occupancy;
  for (const candidate of candidates.slice(0, BINDING_TRIES)) {
    if (ledger.holdsAfterBinding(candidate.position)) return candidate;
  }
  // Guarantees that are already short do not take away one that still fits.
  if (!ledger.holds() && candidates.length > 0) return candidates[0];
  return null;
}

/** One candidate for each rack and fit, smallest sufficient blocks first. */
function listBindings(
  entry: entries.JobEntry,
  members: number,
  search: GuaranteedSearch & { order: number },
): Candidate[] {
  const { ledger } = search.occupancy;
  const found: Candidate[] = [];
  for (let rack = 0; rack < ledger.space.rackCount; rack++) {
    const fit = ledger.space.smallestFit(rack, search.order);
    if (fit < 0) continue;
    found.push(...listInRack(entry, members, { ...search, rack, fit }));
  }
  return found;
}

function listInRack(
  entry: entries.JobEntry,
  members: number,
  search: GuaranteedSearch & { order: number; rack: number; fit: number },
): Candidate[] {
  const { rack, order, fit, occupancy } = search;
  const found: Candidate[] = [];
  const step = Placement.sizeOf(order);
  for (
    let offset = 0;
    offset < Placement.ACCELERATORS_PER_RACK;
    offset += step
  ) {
    const position = { rack, offset, order };
    if (!occupancy.ledger.space.isFree(position)) continue;
    const choice = chooseInRegion(entry, members, {
      ...search,
      region: position,
    });
    if (choice === null) continue;
    // A larger block is broken only where no exact one will do.
    const cost = choice.cost + (fit - order) * 1e-3 +
      occupancy.space.freeInRack(rack) * 1e-6;
    found.push({ ...choice, cost, position });
  }
  return found;
}

/** The cheapest sub-blocks of a region for a number of members. */
function chooseInRegion(
  entry: entries.JobEntry,
  members: number,
  search: GuaranteedSearch & { region: Placement.BlockPosition },
): RegionChoice | null {
  const { region } = search;
  const size = Placement.sizeOf(entry.order);
  if (members * size > Placement.sizeOf(region.order)) return null;
  const priced: { slot: Types.Slot; cost: number }[] = [];
  const end = region.offset + Placement.sizeOf(region.order);
  for (let offset = region.offset; offset < end; offset += size) {
    const slot = packing.slotAt(region.rack, offset, size);
    const cost = priceOfSlot(entry, slot, search);
    if (cost !== null) priced.push({ slot, cost });
  }
  if (priced.length < members) return null;
  priced.sort((a, b) => a.cost - b.cost);
  return sumChoice(priced.slice(0, members), search);
}

function sumChoice(
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
function priceOfSlot(
  entry: entries.JobEntry,
  slot: Types.Slot,
  search: GuaranteedSearch,
): number | null {
  const { occupancy, nowMs } = search;
  if (!occupancy.isAvailable(slot.worker)) return null;
  if (occupancy.layout.workers[slot.worker] === undefined) return null;
  const free = (occupancy.space.usedMask(slot.worker) & slot.mask) === 0;
  if (free) return 0;
  if (!search.mayEvict) return null;
  if (occupancy.isClaimed(slot)) return null;
  let cost = 0;
  const victims = occupancy.tasksIn(slot);
  if (victims.size === 0) return null;
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
