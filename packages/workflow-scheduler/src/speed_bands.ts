/**
 * Keeps fast endpoints for work that needs them: a fast endpoint beside a slow one in
 * one gang runs at the slow one's pace.
 */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";

/** Speeds within this ratio count as alike: learned ones vary by about as much. */
const SIMILAR_SPEED_RATIO = 1.35;
const MIN_SPEED = 0.05;

/** Endpoints at least as fast as needed. */
export function fastEndpoints(
  endpoints: readonly fleet.Endpoint[],
  neededSpeed: number,
): readonly fleet.Endpoint[] {
  return endpoints.filter(({ state }) =>
    placement.currentSpeed(state) >= neededSpeed
  );
}

/** Speed of the slowest of some places. */
export function slowestOf(places: placement.Placement): number {
  return Math.min(...places.map(({ state }) => placement.currentSpeed(state)));
}

/**
 * Places near the data of a unit. Urgent units get those whose slowest is as fast as
 * any that are there, others the slowest ones; gangs get endpoints of like speed where
 * enough of them have room.
 */
export function findSimilarSpeed(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  freeOf: placement.FreeOf,
): placement.Placement | null {
  const found = placement.findNear(unit, endpoints, freeOf);
  if (found === null || found.length === 1) return found;
  const isUrgent = unit.workflow.spec.policy.priority === 0;
  if (isUrgent) return findNoFaster(unit, found, freeOf, endpoints) ?? found;
  for (const band of groupBySpeed(endpoints)) {
    const similar = placement.findNear(unit, band, freeOf);
    if (similar !== null) return similar;
  }
  return found;
}

/** Free places for single tasks, on endpoints that are fast enough first. */
export function findForEachFastFirst(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  neededSpeed: number,
): placement.Placement {
  const fast = new Set(fastEndpoints(endpoints, neededSpeed));
  const first = placement.findForEach(unit, [...fast], placement.freeNow);
  if (first.length === unit.tasks.length) return first;
  const rest = { ...unit, tasks: unit.tasks.slice(first.length) };
  const slow = endpoints.filter((endpoint) => !fast.has(endpoint));
  return [...first, ...placement.findForEach(rest, slow, placement.freeNow)];
}

/** As fast as what was found, without endpoints that are faster than that needs. */
function findNoFaster(
  unit: Workflow.Unit,
  found: placement.Placement,
  freeOf: placement.FreeOf,
  endpoints: readonly fleet.Endpoint[],
): placement.Placement | null {
  const slowest = slowestOf(found);
  const similar = endpoints.filter(({ state }) => {
    const speed = placement.currentSpeed(state);
    return speed >= slowest && speed <= slowest * SIMILAR_SPEED_RATIO;
  });
  return placement.findNear(unit, similar, freeOf);
}

/** Endpoints of like speed, slow ones first. */
function groupBySpeed(
  endpoints: readonly fleet.Endpoint[],
): readonly (readonly fleet.Endpoint[])[] {
  const bands = new Map<number, fleet.Endpoint[]>();
  for (const endpoint of endpoints) {
    const speed = Math.max(placement.currentSpeed(endpoint.state), MIN_SPEED);
    const band = Math.round(Math.log(speed) / Math.log(SIMILAR_SPEED_RATIO));
    const sameBand = bands.get(band);
    if (sameBand === undefined) bands.set(band, [endpoint]);
    else sameBand.push(endpoint);
  }
  return [...bands].sort(([a], [b]) => a - b).map(([, band]) => band);
}
