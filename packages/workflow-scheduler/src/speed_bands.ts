/**
 * Saves fast endpoints for work that needs them. A gang runs at the pace of its slowest
 * endpoint, so a fast endpoint beside a slow one is wasted.
 */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";

/** Speeds within this ratio count as similar; measured speeds vary by about as much. */
const SIMILAR_SPEED_RATIO = 1.35;
const MIN_SPEED = 0.05;

/** Endpoints that reach the needed speed. */
export function fastEndpoints(
  endpoints: readonly fleet.Endpoint[],
  neededSpeed: number,
): readonly fleet.Endpoint[] {
  return endpoints.filter(({ state }) =>
    placement.currentSpeed(state) >= neededSpeed
  );
}

/** Speed of the slowest endpoint of a placement. */
export function slowestOf(places: placement.Placement): number {
  return Math.min(...places.map(({ state }) => placement.currentSpeed(state)));
}

/**
 * Places a unit near its data, a gang on endpoints of similar speed where enough of
 * them are free. Urgent units get the fastest placement, other units the slowest one.
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

/** Places single tasks on free endpoints, on those that are fast enough first. */
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

/** Finds a placement of the same speed without unnecessarily fast endpoints. */
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

/** Groups endpoints of similar speed, slowest first. */
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
