/** Reserves endpoints for urgent work during one plan. */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import * as reserveSize from "./reserve_size.ts";

/** Places as many tasks of a unit as fit on the given endpoints. */
export type FindPlaces = (
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
) => placement.Placement;

/** Options of an urgent reserve. */
export interface UrgentReserveOptions {
  readonly endpoints: readonly fleet.Endpoint[];
  /** Recent urgent traffic of a service. */
  readonly trafficOf: (service: string) => reserveSize.UrgentTraffic;
  /** Longest time that a stop takes, in ms. */
  readonly stopMs: number;
}

/** Endpoints reserved for urgent work, chosen once per service and plan. */
export class UrgentReserve {
  readonly #options: UrgentReserveOptions;
  readonly #reservedByService = new Map<
    string,
    ReadonlySet<fleet.Endpoint>
  >();

  constructor(options: UrgentReserveOptions) {
    this.#options = options;
  }

  /** Number of reserved endpoints of the services queried so far. */
  get size(): number {
    return [...this.#reservedByService.values()].reduce(
      (sum, reserved) => sum + reserved.size,
      0,
    );
  }

  /** Endpoints that a unit may use. */
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
   * Places as many tasks of a unit as fit. Ordinary work with checkpoints fills the
   * reserve first, so that later stops lose little work.
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
