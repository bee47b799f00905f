/** Which endpoints one plan leaves free for urgent work, and who may use them. */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import * as reserveSize from "./urgent_room.ts";

/** Finds places among some rooms for as many tasks of a unit as there is room for. */
export type FindPlaces = (
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
) => placement.Placement;

/** What the choice is made from. */
export interface UrgentReserveOptions {
  readonly endpoints: readonly fleet.Endpoint[];
  /** Urgent work of a service as it came lately. */
  readonly trafficOf: (service: string) => reserveSize.UrgentTraffic;
  /** Time that a stop takes at most, in ms. */
  readonly stopMs: number;
}

/** Endpoints that are left free, by service; chosen once in a plan. */
export class UrgentReserve {
  readonly #options: UrgentReserveOptions;
  readonly #reservedByService = new Map<
    string,
    ReadonlySet<fleet.Endpoint>
  >();

  constructor(options: UrgentReserveOptions) {
    this.#options = options;
  }

  /** Endpoints that are left free, as far as units have asked. */
  get size(): number {
    return [...this.#reservedByService.values()].reduce(
      (sum, reserved) => sum + reserved.size,
      0,
    );
  }

  /** Those of the rooms that a unit may take. */
  allowedFor(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
  ): readonly fleet.Endpoint[] {
    if (reserveSize.mayUseReserve(unit)) return endpoints;
    const reserved = this.#reservedFor(unit.workflow.spec.policy.service);
    return reserved.size === 0
      ? endpoints
      : endpoints.filter((endpoint) => !reserved.has(endpoint));
  }

  /**
   * Places for as many tasks as there is room for. Ordinary work that stops cheaply
   * fills the room for urgent work first: a stop that must be strikes it, and not
   * work that would lose all.
   */
  findPlaces(
    unit: Workflow.Unit,
    endpoints: readonly fleet.Endpoint[],
    find: FindPlaces = findFree,
  ): placement.Placement {
    const { priority, service } = unit.workflow.spec.policy;
    const isCheapToStop = priority > 0 && unit.step.checkpoints;
    const reserved = isCheapToStop
      ? this.#reservedFor(service)
      : new Set<fleet.Endpoint>();
    const first = find(
      unit,
      endpoints.filter((endpoint) => reserved.has(endpoint)),
    );
    const tasks = unit.tasks.slice(first.length);
    if (tasks.length === 0) return first;
    const unreserved = endpoints.filter((endpoint) => !reserved.has(endpoint));
    return [...first, ...find({ ...unit, tasks }, unreserved)];
  }

  #reservedFor(service: string): ReadonlySet<fleet.Endpoint> {
    const cached = this.#reservedByService.get(service);
    if (cached !== undefined) return cached;
    const { endpoints, trafficOf, stopMs } = this.#options;
    const ofService = endpoints.filter(({ state }) =>
      state.usable && state.service === service
    );
    const reserved = reserveSize.chooseReserved(
      ofService,
      trafficOf(service),
      stopMs,
    );
    this.#reservedByService.set(service, reserved);
    return reserved;
  }
}

function findFree(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
): placement.Placement {
  return placement.findForEach(unit, endpoints, placement.freeNow);
}
