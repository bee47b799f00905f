/** Finds places for a unit within some amount of room on each worker. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";

/** Workers of a unit's tasks, in the order of the tasks. */
export type Places = readonly fleet.EndpointRoom[];

/** Tells the room of a worker that a search may use. */
export type RoomOf = (room: fleet.EndpointRoom) => Workflow.Resources;

/** Room that is free now. */
export const freeNow: RoomOf = (room) => room.free;

/** Room that is free once all stops have ended. */
export const freeSoon: RoomOf = (room) => room.soon;

/** Room that was free before this plan gave any of it away. */
export const freeBefore: RoomOf = (room) => room.before;

/** Finds the tightest places among some workers; null where there are none. */
export function findAmong(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  roomOf: RoomOf,
): Places | null {
  const open = rooms
    .map((room) => ({ room, fits: room.fits(unit, roomOf(room)) }))
    .filter(({ fits }) => fits > 0);
  const sum = open.reduce((total, { fits }) => total + fits, 0);
  if (sum < unit.tasks.length) return null;
  const rackFree = freeByRack(rooms, roomOf);
  const left = ({ room, fits }: typeof open[number]) =>
    roomOf(room).accelerators - fits * unit.step.accelerators;
  const slowness = slownessFor(unit);
  // Racks are filled one after another, so that whole ones stay free.
  open.sort((a, b) =>
    slowness(a.room) - slowness(b.room) ||
    (rackFree.get(a.room.worker.rack) ?? 0) -
      (rackFree.get(b.room.worker.rack) ?? 0) ||
    left(a) - left(b) ||
    roomOf(a.room).accelerators - roomOf(b.room).accelerators ||
    roomOf(a.room).memoryMb - roomOf(b.room).memoryMb
  );
  return takePlaces(open, unit.tasks.length);
}

/**
 * Finds places for as many tasks of a unit as there is room for, each by itself.
 * One search does for all what one after another would find: the tightest worker
 * of the fullest rack is filled first.
 */
export function findForEach(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  roomOf: RoomOf,
): Places {
  const fitting = rooms
    .map((room) => ({ room, fits: room.fits(unit, roomOf(room)) }))
    .filter(({ fits }) => fits > 0);
  if (fitting.length === 0) return [];
  const rackFree = freeByRack(rooms, roomOf);
  const slowness = slownessFor(unit);
  const open = fitting.map(({ room, fits }) => ({
    room,
    fits,
    slowness: slowness(room),
    rackFree: rackFree.get(room.worker.rack) ?? 0,
    free: roomOf(room).accelerators,
  }));
  open.sort((a, b) =>
    a.slowness - b.slowness || a.rackFree - b.rackFree ||
    compareTexts(a.room.worker.rack, b.room.worker.rack) ||
    a.free - b.free || roomOf(a.room).memoryMb - roomOf(b.room).memoryMb
  );
  return takePlaces(open, unit.tasks.length);
}

function compareTexts(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** The first places, in order, of rooms that each take some tasks. */
function takePlaces(
  open: readonly { readonly room: fleet.EndpointRoom; readonly fits: number }[],
  most: number,
): Places {
  const places: fleet.EndpointRoom[] = [];
  for (const { room, fits } of open) {
    const count = Math.min(fits, most - places.length);
    for (let i = 0; i < count; i++) places.push(room);
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
const COLD_SPEED = 0.5;

/** Steps of slowness by which endpoints in doubt come after all others. */
const IN_DOUBT = 1000;
/**
 * The same for endpoints on which nothing has run well lately, for work that has
 * failed before: the next failure may be its last.
 */
const UNPROVEN = 100;

/**
 * Urgent work takes the fast workers first and other work the slow ones, because
 * it has more time.
 */
function slownessFor(
  unit: Workflow.Unit,
): (room: fleet.EndpointRoom) => number {
  const isUrgent = unit.workflow.spec.policy.priority === 0;
  const sign = isUrgent ? -1 : 1;
  const hasFailed = unit.tasks.some(({ failures }) => failures > 0);
  const doubtOf = ({ isDoubted, isProven }: fleet.WorkerState) => {
    if (isDoubted === true) return IN_DOUBT;
    return hasFailed && isProven !== true ? UNPROVEN : 0;
  };
  return ({ worker }) =>
    doubtOf(worker) + sign * Math.round((speedNow(worker) - 1) / SPEED_STEP);
}

/** Speed as it is now; one that has just come up is slower than it will be. */
export function speedNow({ speed, isCold }: fleet.WorkerState): number {
  return isCold === true ? speed * COLD_SPEED : speed;
}

/** Free accelerators of each rack. */
function freeByRack(
  rooms: readonly fleet.EndpointRoom[],
  roomOf: RoomOf,
): Map<string, number> {
  const free = new Map<string, number>();
  for (const room of rooms) {
    const { rack } = room.worker;
    free.set(rack, (free.get(rack) ?? 0) + roomOf(room).accelerators);
  }
  return free;
}

/** Finds places within one rack: the wanted one, else the tightest. */
export function findInOneRack(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  roomOf: RoomOf,
): Places | null {
  const slowness = slownessFor(unit);
  let best: { places: Places; slowest: number; free: number } | null = null;
  for (const rack of groupByRack(rooms).values()) {
    const places = findAmong(unit, rack, roomOf);
    if (places === null) continue;
    const free = rack.reduce((sum, r) => sum + roomOf(r).accelerators, 0);
    const slowest = Math.max(...places.map(slowness));
    const isBetter = best === null || slowest < best.slowest ||
      (slowest === best.slowest && free < best.free);
    if (isBetter) best = { places, slowest, free };
  }
  return best?.places ?? null;
}

/** Whether tasks of a unit run at full speed only within one rack. */
export function wantsOneRack(unit: Workflow.Unit): boolean {
  return unit.step.gang && unit.step.sameRack && unit.tasks.length > 1;
}

/** Workers where a unit runs at full speed. */
export function nearWorkers(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
): readonly fleet.EndpointRoom[] {
  const { rack } = unit.step;
  if (rack === null) return rooms;
  return rooms.filter((room) => room.worker.rack === rack);
}

/** Finds places where the unit runs at full speed. */
export function findNear(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  roomOf: RoomOf,
): Places | null {
  const near = nearWorkers(unit, rooms);
  return wantsOneRack(unit)
    ? findInOneRack(unit, near, roomOf)
    : findAmong(unit, near, roomOf);
}

/** Whether the unit would run at full speed on empty workers. */
export function couldBeNear(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
): boolean {
  return findNear(unit, rooms, (room) => room.worker.total) !== null;
}

/** Workers by rack. */
export function groupByRack(
  rooms: readonly fleet.EndpointRoom[],
): Map<string, fleet.EndpointRoom[]> {
  const racks = new Map<string, fleet.EndpointRoom[]>();
  for (const room of rooms) {
    const rack = racks.get(room.worker.rack);
    if (rack === undefined) racks.set(room.worker.rack, [room]);
    else rack.push(room);
  }
  return racks;
}
