/**
 * Room that is left free for urgent work that will come. Answers loads on which
 * ordinary work fills each gap and is stopped again at once.
 */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";

/** Urgent work as it came lately. */
export interface UrgentTraffic {
  /** Accelerators that it asks for in a second, on average. */
  readonly acceleratorsPerSecond: number;
  /** Accelerators of a wide unit: nine of ten ask for no more. */
  readonly wideAccelerators: number;
}

/** No urgent work lately. */
export const NO_URGENT_TRAFFIC: UrgentTraffic = {
  acceleratorsPerSecond: 0,
  wideAccelerators: 0,
};

/**
 * Largest share of all accelerators that is left free. Ordinary work must go on
 * whatever comes: beyond this share urgent work makes others stop.
 */
const MOST_SHARE = 0.15;

/**
 * Nothing is left free while less than this share is in use: users allow no work to
 * stand still for seconds while under half of the fleet is.
 */
const LEAST_USED = 0.6;

/** Accelerators to leave free: what comes while a stop takes place, and one wide unit. */
export function wantedRoom(
  traffic: UrgentTraffic,
  now: { readonly all: number; readonly stopMs: number },
): number {
  const { acceleratorsPerSecond, wideAccelerators } = traffic;
  if (acceleratorsPerSecond === 0) return 0;
  const coming = acceleratorsPerSecond * now.stopMs / 1000;
  return Math.min(coming + wideAccelerators, now.all * MOST_SHARE);
}

/**
 * The endpoints of one service to leave free: those of one rack after another, the
 * emptiest first, as wide gangs want whole endpoints of one rack.
 */
export function chooseRooms(
  rooms: readonly fleet.WorkerRoom[],
  traffic: UrgentTraffic,
  stopMs: number,
): ReadonlySet<fleet.WorkerRoom> {
  const chosen = new Set<fleet.WorkerRoom>();
  if (usedShare(rooms) < LEAST_USED) return chosen;
  const all = sumOf(rooms, ({ worker }) => worker.total.accelerators);
  let left = wantedRoom(traffic, { all, stopMs });
  for (const { room, open } of byRackAndOpen(rooms)) {
    if (left <= 0) break;
    chosen.add(room);
    left -= open;
  }
  return chosen;
}

/** Whether a unit may take room that is left free for urgent work. */
export function mayUse({ step, workflow }: Workflow.Unit): boolean {
  const isOrdinary = workflow.spec.policy.priority > 0;
  return !isOrdinary || step.checkpoints || step.lasting;
}

interface OpenRoom {
  readonly room: fleet.WorkerRoom;
  /** Accelerators that are free, or held by work that stops cheaply. */
  readonly open: number;
}

function byRackAndOpen(rooms: readonly fleet.WorkerRoom[]): OpenRoom[] {
  const racks = new Map<string, OpenRoom[]>();
  for (const room of rooms) {
    const open = openFor(room);
    if (open <= 0) continue;
    const rack = racks.get(room.worker.rack) ?? [];
    rack.push({ room, open });
    racks.set(room.worker.rack, rack);
  }
  const sorted = [...racks.values()].map((rack) => ({
    rack: rack.sort((a, b) => b.open - a.open),
    open: rack.reduce((sum, { open }) => sum + open, 0),
  }));
  sorted.sort((a, b) => b.open - a.open);
  return sorted.flatMap(({ rack }) => rack);
}

function openFor({ soon, worker }: fleet.WorkerRoom): number {
  const cheap = worker.occupants.filter(stopsCheaply);
  return cheap.reduce((sum, { step }) => sum + step.accelerators, 0) +
    soon.accelerators;
}

function stopsCheaply({ step, workflow }: Workflow.Task): boolean {
  return step.checkpoints && !step.lasting &&
    workflow.spec.policy.priority > 0;
}

/** Cores that one accelerator counts for. */
const ACCELERATOR_WEIGHT = 8;

/** Share in use: of the accelerators, or of them and the cores, whichever is less. */
function usedShare(rooms: readonly fleet.WorkerRoom[]): number {
  const weigh = ({ cpuMillis, accelerators }: Workflow.Resources) =>
    cpuMillis / 1000 + ACCELERATOR_WEIGHT * accelerators;
  const usedOf = (measure: (one: Workflow.Resources) => number) => {
    const all = sumOf(rooms, ({ worker }) => measure(worker.total));
    const free = sumOf(rooms, ({ before }) => measure(before));
    return all === 0 ? 0 : 1 - free / all;
  };
  return Math.min(usedOf(({ accelerators }) => accelerators), usedOf(weigh));
}

function sumOf(
  rooms: readonly fleet.WorkerRoom[],
  of: (room: fleet.WorkerRoom) => number,
): number {
  return rooms.reduce((sum, room) => sum + of(room), 0);
}
