/**
 * Finds the places that a waiting gang will have first, by the estimated ends of
 * what runs there.
 */
import * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";

/** A run that is late by its estimate ends, we guess, after this time. */
const OVERDUE_MS = 500;

interface Ending {
  readonly room: fleet.EndpointRoom;
  readonly task: Workflow.Task;
  readonly atMs: number;
}

/** Places and when they are free. */
export interface Reservation {
  readonly places: placement.Places;
  readonly atMs: number;
}

/** What the ends of runs are guessed by. */
export interface EndingContext {
  readonly nowMs: number;
  /** Time that a run takes, as far as it is not told by its pace. */
  readonly runMs: (task: Workflow.Task) => number;
}

/** The places that are free first; null where the unit fits nowhere. */
export function findEarliest(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  context: EndingContext,
): Reservation | null {
  const near = placement.nearWorkers(unit, rooms);
  if (!placement.wantsOneRack(unit)) {
    return searchAmong(unit, near, context);
  }
  let best: Reservation | null = null;
  for (const rack of placement.groupByRack(near).values()) {
    const found = searchAmong(unit, rack, context);
    if (found === null) continue;
    if (best === null || found.atMs < best.atMs) best = found;
  }
  return best;
}

/** Lets runs end one after another until the unit fits. */
function searchAmong(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  context: EndingContext,
): Reservation | null {
  if (placement.findAmong(unit, rooms, (r) => r.worker.total) === null) {
    return null;
  }
  const amounts = new Map(rooms.map((room) => [room, { ...room.soon }]));
  const roomOf = (room: fleet.EndpointRoom) => amounts.get(room) ?? room.soon;
  for (const { room, task, atMs } of listEndings(rooms, context)) {
    const amount = amounts.get(room);
    if (amount !== undefined) fleet.give(amount, task.step);
    const places = placement.findAmong(unit, rooms, roomOf);
    if (places !== null) return { places, atMs };
  }
  return null;
}

/** When a run ends by its pace, or else by the time that runs take. */
function endOf(task: Workflow.Task, { nowMs, runMs }: EndingContext): number {
  if (task.endsAtMs !== null) return Math.max(task.endsAtMs, nowMs);
  const expectedMs = task.startedAtMs + runMs(task);
  return Math.max(expectedMs, nowMs + OVERDUE_MS);
}

function listEndings(
  rooms: readonly fleet.EndpointRoom[],
  context: EndingContext,
): Ending[] {
  const endings: Ending[] = [];
  for (const room of rooms) {
    for (const task of room.worker.occupants) {
      if (task.state === Workflow.TaskState.Stopping) continue;
      // The members of a gang end together.
      const group = task.step.gang ? task.workflow.siblings(task) : [task];
      const ends = group.map((member) => endOf(member, context));
      endings.push({ room, task, atMs: Math.max(...ends) });
    }
  }
  return endings.sort((a, b) => a.atMs - b.atMs);
}
