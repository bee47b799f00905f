/** Places units on endpoints within the resources available on each. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";

/** Endpoint of each task of a unit, in the order of the tasks. */
export type Placement = readonly fleet.Endpoint[];

/** Returns the resources of an endpoint that a search may use. */
export type FreeOf = (
  endpoint: fleet.Endpoint,
) => Workflow.Resources;

/** Resources that are free now. */
export const freeNow: FreeOf = (endpoint) => endpoint.free;

/** Resources that are free once all stops are done. */
export const freeAfterStops: FreeOf = (endpoint) => endpoint.freeAfterStops;

/** Resources that were free before this plan allocated any. */
export const freeAtStart: FreeOf = (endpoint) => endpoint.freeAtStart;

/** Places a unit by best fit on some endpoints; null if it does not fit. */
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
  // Fills one rack after another, so that whole racks stay free.
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
 * Places as many independent tasks of a unit as fit. One search gives the result of a
 * search for each task: it fills the fullest endpoint of the fullest rack first.
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

/** Fills the candidates in order with at most `maxPlaces` tasks. */
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

/** Speed difference below which endpoints count as equally fast. */
const SPEED_STEP = 0.12;

/**
 * Factor on the speed of an endpoint that has just started up. Endpoints do not report
 * how slow they are at first; half places them behind every warm endpoint, whose speeds
 * differ by at most 0.3.
 */
const COLD_SPEED_FACTOR = 0.5;

/** Penalty that orders unreliable endpoints after all others, in speed steps. */
const UNRELIABLE_PENALTY = 1000;
/**
 * Penalty of endpoints on which no run has recently succeeded or survived its start, in
 * speed steps. It applies to work that has failed before, since its next failure may
 * use up its attempts.
 */
const UNPROVEN_PENALTY = 100;

/**
 * Orders endpoints for a unit: urgent work takes the fastest first, other work the
 * slowest, because it has more time.
 */
function penaltyFor(
  unit: Workflow.Unit,
): (endpoint: fleet.Endpoint) => number {
  const isUrgent = unit.workflow.spec.policy.priority === 0;
  const sign = isUrgent ? -1 : 1;
  const hasFailed = unit.tasks.some(({ failures }) => failures > 0);
  const reliabilityPenaltyOf = (
    { isUnreliable, isProven }: fleet.EndpointSnapshot,
  ) => {
    if (isUnreliable === true) return UNRELIABLE_PENALTY;
    return hasFailed && isProven !== true ? UNPROVEN_PENALTY : 0;
  };
  return ({ state }) =>
    reliabilityPenaltyOf(state) +
    sign * Math.round((currentSpeed(state) - 1) / SPEED_STEP);
}

/** Current speed, reduced for an endpoint that has just started up. */
export function currentSpeed(
  { speed, isCold }: fleet.EndpointSnapshot,
): number {
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

/** Places a unit within one rack, preferring the fastest and then the fullest one. */
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

/** Whether the tasks of a unit run at full speed only within one rack. */
export function wantsOneRack(unit: Workflow.Unit): boolean {
  return unit.step.gang && unit.step.sameRack && unit.tasks.length > 1;
}

/** Endpoints near the data of a unit, where it runs at full speed. */
export function endpointsNearData(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
): readonly fleet.Endpoint[] {
  const { rack } = unit.step;
  if (rack === null) return endpoints;
  return endpoints.filter((endpoint) => endpoint.state.rack === rack);
}

/** Places a unit where it runs at full speed; null if it does not fit there. */
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

/** Whether a unit would fit where it runs at full speed if endpoints were empty. */
export function couldFitNear(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
): boolean {
  return findNear(unit, endpoints, (endpoint) => endpoint.state.total) !== null;
}

/** Groups endpoints by rack. */
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
