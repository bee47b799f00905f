/** Finds places for a unit within some amount of room on each worker. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";

/** Workers of a unit's tasks, in the order of the tasks. */
export type Placement = readonly fleet.Endpoint[];

/** Tells the room of a worker that a search may use. */
export type FreeOf = (
  endpoint: fleet.Endpoint,
) => Workflow.Resources;

/** Room that is free now. */
export const freeNow: FreeOf = (endpoint) => endpoint.free;

/** Room that is free once all stops have ended. */
export const freeAfterStops: FreeOf = (endpoint) => endpoint.freeAfterStops;

/** Room that was free before this plan gave any of it away. */
export const freeAtStart: FreeOf = (endpoint) => endpoint.freeAtStart;

/** Finds the tightest places among some workers; null where there are none. */
export function findAmong(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  freeOf: FreeOf,
): Placement | null {
  const candidates = endpoints
    .map((endpoint) => ({
      endpoint,
      fits: endpoint.fits(unit, freeOf(endpoint)),
    }))
    .filter(({ fits }) => fits > 0);
  const sum = candidates.reduce((total, { fits }) => total + fits, 0);
  if (sum < unit.tasks.length) return null;
  const rackFree = freeByRack(endpoints, freeOf);
  const acceleratorsLeft = ({ endpoint, fits }: typeof candidates[number]) =>
    freeOf(endpoint).accelerators - fits * unit.step.accelerators;
  const penalty = penaltyFor(unit);
  // Racks are filled one after another, so that whole ones stay free.
  candidates.sort((a, b) =>
    penalty(a.endpoint) - penalty(b.endpoint) ||
    (rackFree.get(a.endpoint.state.rack) ?? 0) -
      (rackFree.get(b.endpoint.state.rack) ?? 0) ||
    acceleratorsLeft(a) - acceleratorsLeft(b) ||
    freeOf(a.endpoint).accelerators -
      freeOf(b.endpoint).accelerators ||
    freeOf(a.endpoint).memoryMb - freeOf(b.endpoint).memoryMb
  );
  return takePlaces(candidates, unit.tasks.length);
}

/**
 * Finds places for as many tasks of a unit as there is room for, each by itself.
 * One search does for all what one after another would find: the tightest worker
 * of the fullest rack is filled first.
 */
export function findForEach(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  freeOf: FreeOf,
): Placement {
  const fitCounts = endpoints
    .map((endpoint) => ({
      endpoint,
      fits: endpoint.fits(unit, freeOf(endpoint)),
    }))
    .filter(({ fits }) => fits > 0);
  if (fitCounts.length === 0) return [];
  const rackFree = freeByRack(endpoints, freeOf);
  const penalty = penaltyFor(unit);
  const candidates = fitCounts.map(({ endpoint, fits }) => ({
    endpoint,
    fits,
    penalty: penalty(endpoint),
    rackFree: rackFree.get(endpoint.state.rack) ?? 0,
    free: freeOf(endpoint).accelerators,
  }));
  candidates.sort((a, b) =>
    a.penalty - b.penalty || a.rackFree - b.rackFree ||
    compareStrings(a.endpoint.state.rack, b.endpoint.state.rack) ||
    a.free - b.free ||
    freeOf(a.endpoint).memoryMb - freeOf(b.endpoint).memoryMb
  );
  return takePlaces(candidates, unit.tasks.length);
}

function compareStrings(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** The first places, in order, of rooms that each take some tasks. */
function takePlaces(
  open: readonly { readonly endpoint: fleet.Endpoint; readonly fits: number }[],
  maxPlaces: number,
): Placement {
  const places: fleet.Endpoint[] = [];
  for (const { endpoint, fits } of open) {
    const count = Math.min(fits, maxPlaces - places.length);
    for (let i = 0; i < count; i++) places.push(endpoint);
  }
  return places;
}

/** Workers whose speeds differ by less count as equally fast. */
const SPEED_STEP = 0.12;

/**
 * Endpoints that have just come up count as this much as fast as they will be. How
 * slow they are is not told; half puts them behind every warm one, whose speeds
 * differ by 0.3 at most, as far as measured.
 */
const COLD_SPEED_FACTOR = 0.5;

/** Steps of penalty by which endpoints in doubt come after all others. */
const UNRELIABLE_PENALTY = 1000;
/**
 * The same for endpoints on which nothing has run well lately, for work that has
 * failed before: the next failure may be its last.
 */
const UNPROVEN_PENALTY = 100;

/**
 * Urgent work takes the fast workers first and other work the slow ones, because
 * it has more time.
 */
function penaltyFor(
  unit: Workflow.Unit,
): (endpoint: fleet.Endpoint) => number {
  const isUrgent = unit.workflow.spec.policy.priority === 0;
  const sign = isUrgent ? -1 : 1;
  const hasFailed = unit.tasks.some(({ failures }) => failures > 0);
  const reliabilityPenaltyOf = ({ isDoubted, isProven }: fleet.WorkerState) => {
    if (isDoubted === true) return UNRELIABLE_PENALTY;
    return hasFailed && isProven !== true ? UNPROVEN_PENALTY : 0;
  };
  return ({ state }) =>
    reliabilityPenaltyOf(state) +
    sign * Math.round((currentSpeed(state) - 1) / SPEED_STEP);
}

/** Speed as it is now; one that has just come up is slower than it will be. */
export function currentSpeed({ speed, isCold }: fleet.WorkerState): number {
  return isCold === true ? speed * COLD_SPEED_FACTOR : speed;
}

/** Free accelerators of each rack. */
function freeByRack(
  endpoints: readonly fleet.Endpoint[],
  freeOf: FreeOf,
): Map<string, number> {
  const free = new Map<string, number>();
  for (const endpoint of endpoints) {
    const { rack } = endpoint.state;
    free.set(rack, (free.get(rack) ?? 0) + freeOf(endpoint).accelerators);
  }
  return free;
}

/** Finds places within one rack: the wanted one, else the tightest. */
export function findInOneRack(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  freeOf: FreeOf,
): Placement | null {
  const penalty = penaltyFor(unit);
  let best: { places: Placement; worstPenalty: number; free: number } | null =
    null;
  for (const rack of groupByRack(endpoints).values()) {
    const places = findAmong(unit, rack, freeOf);
    if (places === null) continue;
    const free = rack.reduce((sum, r) => sum + freeOf(r).accelerators, 0);
    const worstPenalty = Math.max(...places.map(penalty));
    const isBetter = best === null || worstPenalty < best.worstPenalty ||
      (worstPenalty === best.worstPenalty && free < best.free);
    if (isBetter) best = { places, worstPenalty, free };
  }
  return best?.places ?? null;
}

/** Whether tasks of a unit run at full speed only within one rack. */
export function wantsOneRack(unit: Workflow.Unit): boolean {
  return unit.step.gang && unit.step.sameRack && unit.tasks.length > 1;
}

/** Workers where a unit runs at full speed. */
export function endpointsNearData(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
): readonly fleet.Endpoint[] {
  const { rack } = unit.step;
  if (rack === null) return endpoints;
  return endpoints.filter((endpoint) => endpoint.state.rack === rack);
}

/** Finds places where the unit runs at full speed. */
export function findNear(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  freeOf: FreeOf,
): Placement | null {
  const near = endpointsNearData(unit, endpoints);
  return wantsOneRack(unit)
    ? findInOneRack(unit, near, freeOf)
    : findAmong(unit, near, freeOf);
}

/** Whether the unit would run at full speed on empty workers. */
export function couldFitNear(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
): boolean {
  return findNear(unit, endpoints, (endpoint) => endpoint.state.total) !== null;
}

/** Workers by rack. */
export function groupByRack(
  endpoints: readonly fleet.Endpoint[],
): Map<string, fleet.Endpoint[]> {
  const racks = new Map<string, fleet.Endpoint[]>();
  for (const endpoint of endpoints) {
    const rack = racks.get(endpoint.state.rack);
    if (rack === undefined) racks.set(endpoint.state.rack, [endpoint]);
    else rack.push(endpoint);
  }
  return racks;
}
