/**
 * Keeps fast endpoints for work that needs them: a fast endpoint beside a slow one in
 * one gang runs at the slow one's pace.
 */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";

/** Speeds within this ratio count as alike: learned ones vary by about as much. */
const ALIKE_RATIO = 1.35;
const LEAST_SPEED = 0.05;

/** Endpoints at least as fast as needed. */
export function fastRooms(
  rooms: readonly fleet.EndpointRoom[],
  neededSpeed: number,
): readonly fleet.EndpointRoom[] {
  return rooms.filter(({ worker }) =>
    placement.speedNow(worker) >= neededSpeed
  );
}

/** Speed of the slowest of some places. */
export function slowestOf(places: placement.Places): number {
  return Math.min(...places.map(({ worker }) => placement.speedNow(worker)));
}

/**
 * Places near the data of a unit. Urgent units get those whose slowest is as fast as
 * any that are there, others the slowest ones; gangs get endpoints of like speed where
 * enough of them have room.
 */
export function findAlike(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  roomOf: placement.RoomOf,
): placement.Places | null {
  const found = placement.findNear(unit, rooms, roomOf);
  if (found === null || found.length === 1) return found;
  const isUrgent = unit.workflow.spec.policy.priority === 0;
  if (isUrgent) return findNoFaster(unit, found, roomOf, rooms) ?? found;
  for (const band of bandsOf(rooms)) {
    const alike = placement.findNear(unit, band, roomOf);
    if (alike !== null) return alike;
  }
  return found;
}

/** Free places for single tasks, on endpoints that are fast enough first. */
export function findForEachFast(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  neededSpeed: number,
): placement.Places {
  const fast = new Set(fastRooms(rooms, neededSpeed));
  const first = placement.findForEach(unit, [...fast], placement.freeNow);
  if (first.length === unit.tasks.length) return first;
  const rest = { ...unit, tasks: unit.tasks.slice(first.length) };
  const slow = rooms.filter((room) => !fast.has(room));
  return [...first, ...placement.findForEach(rest, slow, placement.freeNow)];
}

/** As fast as what was found, without endpoints that are faster than that needs. */
function findNoFaster(
  unit: Workflow.Unit,
  found: placement.Places,
  roomOf: placement.RoomOf,
  rooms: readonly fleet.EndpointRoom[],
): placement.Places | null {
  const slowest = slowestOf(found);
  const alike = rooms.filter(({ worker }) => {
    const speed = placement.speedNow(worker);
    return speed >= slowest && speed <= slowest * ALIKE_RATIO;
  });
  return placement.findNear(unit, alike, roomOf);
}

/** Endpoints of like speed, slow ones first. */
function bandsOf(
  rooms: readonly fleet.EndpointRoom[],
): readonly (readonly fleet.EndpointRoom[])[] {
  const bands = new Map<number, fleet.EndpointRoom[]>();
  for (const room of rooms) {
    const speed = Math.max(placement.speedNow(room.worker), LEAST_SPEED);
    const band = Math.round(Math.log(speed) / Math.log(ALIKE_RATIO));
    const known = bands.get(band);
    if (known === undefined) bands.set(band, [room]);
    else known.push(room);
  }
  return [...bands].sort(([a], [b]) => a - b).map(([, band]) => band);
}
