/** Which endpoints one plan leaves free for urgent work, and who may use them. */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import * as urgentRoom from "./urgent_room.ts";

/** Finds places among some rooms for as many tasks of a unit as there is room for. */
export type FindForEach = (
  unit: Workflow.Unit,
  rooms: readonly fleet.WorkerRoom[],
) => placement.Places;

/** What the choice is made from. */
export interface KeptRoomsOptions {
  readonly rooms: readonly fleet.WorkerRoom[];
  /** Urgent work of a service as it came lately. */
  readonly trafficOf: (service: string) => urgentRoom.UrgentTraffic;
  /** Time that a stop takes at most, in ms. */
  readonly stopMs: number;
}

/** Endpoints that are left free, by service; chosen once in a plan. */
export class KeptRooms {
  readonly #options: KeptRoomsOptions;
  readonly #kept = new Map<string, ReadonlySet<fleet.WorkerRoom>>();

  constructor(options: KeptRoomsOptions) {
    this.#options = options;
  }

  /** Endpoints that are left free, as far as units have asked. */
  get size(): number {
    return [...this.#kept.values()].reduce((sum, kept) => sum + kept.size, 0);
  }

  /** Those of the rooms that a unit may take. */
  openFor(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
  ): readonly fleet.WorkerRoom[] {
    if (urgentRoom.mayUse(unit)) return rooms;
    const kept = this.#of(unit.workflow.spec.policy.service);
    return kept.size === 0 ? rooms : rooms.filter((room) => !kept.has(room));
  }

  /**
   * Places for as many tasks as there is room for. Ordinary work that stops cheaply
   * fills the room for urgent work first: a stop that must be strikes it, and not
   * work that would lose all.
   */
  fill(
    unit: Workflow.Unit,
    rooms: readonly fleet.WorkerRoom[],
    find: FindForEach = findAny,
  ): placement.Places {
    const { priority, service } = unit.workflow.spec.policy;
    const isCheap = priority > 0 && unit.step.checkpoints;
    const kept = isCheap ? this.#of(service) : new Set<fleet.WorkerRoom>();
    const first = find(unit, rooms.filter((room) => kept.has(room)));
    const tasks = unit.tasks.slice(first.length);
    if (tasks.length === 0) return first;
    const others = rooms.filter((room) => !kept.has(room));
    return [...first, ...find({ ...unit, tasks }, others)];
  }

  #of(service: string): ReadonlySet<fleet.WorkerRoom> {
    const known = this.#kept.get(service);
    if (known !== undefined) return known;
    const { rooms, trafficOf, stopMs } = this.#options;
    const own = rooms.filter(({ worker }) =>
      worker.usable && worker.service === service
    );
    const kept = urgentRoom.chooseRooms(own, trafficOf(service), stopMs);
    this.#kept.set(service, kept);
    return kept;
  }
}

function findAny(
  unit: Workflow.Unit,
  rooms: readonly fleet.WorkerRoom[],
): placement.Places {
  return placement.findForEach(unit, rooms, placement.freeNow);
}
