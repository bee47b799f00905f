/**
 * Chooses endpoints to reserve for future urgent work. Without a reserve, ordinary work
 * fills every gap under heavy load and is stopped again at once.
 */
import type * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";

/** Recent arrivals of urgent work. */
export interface UrgentTraffic {
  /** Accelerators requested per second, on average. */
  readonly acceleratorsPerSecond: number;
  /** Accelerators of a wide workflow; nine of ten request no more. */
  readonly wideAccelerators: number;
}

/** No recent urgent work. */
export const NO_URGENT_TRAFFIC: UrgentTraffic = {
  acceleratorsPerSecond: 0,
  wideAccelerators: 0,
};

/**
 * Largest share of all accelerators that is reserved, so that ordinary work can always
 * run. Urgent work beyond this share stops other tasks.
 */
const MAX_RESERVED_SHARE = 0.15;

/**
 * Utilization below which nothing is reserved: users do not accept that work stands
 * still for seconds while less than half of the fleet is in use.
 */
const MIN_UTILIZATION = 0.6;

/** Accelerators to reserve: arrivals during one stop plus one wide workflow. */
export function targetAccelerators(
  traffic: UrgentTraffic,
  fleetState: { readonly total: number; readonly stopMs: number },
): number {
  const { acceleratorsPerSecond, wideAccelerators } = traffic;
  if (acceleratorsPerSecond === 0) return 0;
  const arrivingDuringStop = acceleratorsPerSecond * fleetState.stopMs / 1000;
  return Math.min(
    arrivingDuringStop + wideAccelerators,
    fleetState.total * MAX_RESERVED_SHARE,
  );
}

/**
 * Chooses the endpoints of one service to reserve, rack by rack from the emptiest one,
 * since wide gangs need whole endpoints of one rack.
 */
export function chooseReserved(
  endpoints: readonly fleet.Endpoint[],
  traffic: UrgentTraffic,
  stopMs: number,
): ReadonlySet<fleet.Endpoint> {
  const chosen = new Set<fleet.Endpoint>();
  if (utilization(endpoints) < MIN_UTILIZATION) return chosen;
  const total = sumOf(endpoints, ({ state }) => state.total.accelerators);
  let remaining = targetAccelerators(traffic, { total, stopMs });
  for (const { endpoint, reservable } of orderByRack(endpoints)) {
    if (remaining <= 0) break;
    chosen.add(endpoint);
    remaining -= reservable;
  }
  return chosen;
}

/** Whether a unit may use endpoints that are reserved for urgent work. */
export function mayUseReserve({ step, workflow }: Workflow.Unit): boolean {
  const isOrdinary = workflow.spec.policy.priority > 0;
  return !isOrdinary || step.checkpoints || step.lasting;
}

interface ReservableEndpoint {
  readonly endpoint: fleet.Endpoint;
  /** Accelerators that are free or used by work that is cheap to stop. */
  readonly reservable: number;
}

function orderByRack(
  endpoints: readonly fleet.Endpoint[],
): ReservableEndpoint[] {
  const racks = new Map<string, ReservableEndpoint[]>();
  for (const endpoint of endpoints) {
    const reservable = reservableAccelerators(endpoint);
    if (reservable <= 0) continue;
    const rack = racks.get(endpoint.state.rack) ?? [];
    rack.push({ endpoint, reservable });
    racks.set(endpoint.state.rack, rack);
  }
  const sorted = [...racks.values()].map((rack) => ({
    rack: rack.sort((a, b) => b.reservable - a.reservable),
    reservable: rack.reduce((sum, { reservable }) => sum + reservable, 0),
  }));
  sorted.sort((a, b) => b.reservable - a.reservable);
  return sorted.flatMap(({ rack }) => rack);
}

function reservableAccelerators(
  { freeAfterStops, state }: fleet.Endpoint,
): number {
  const cheapToStop = state.tasks.filter(isCheapToStop);
  return cheapToStop.reduce((sum, { step }) => sum + step.accelerators, 0) +
    freeAfterStops.accelerators;
}

function isCheapToStop({ step, workflow }: Workflow.Task): boolean {
  return step.checkpoints && !step.lasting &&
    workflow.spec.policy.priority > 0;
}

/** Cores that are equivalent to one accelerator. */
const ACCELERATOR_WEIGHT = 8;

/** Lower of the utilization of accelerators and of accelerators and cores together. */
function utilization(endpoints: readonly fleet.Endpoint[]): number {
  const coreEquivalentsOf = ({ cpuMillis, accelerators }: Workflow.Resources) =>
    cpuMillis / 1000 + ACCELERATOR_WEIGHT * accelerators;
  const utilizationOf = (measure: (one: Workflow.Resources) => number) => {
    const total = sumOf(endpoints, ({ state }) => measure(state.total));
    const free = sumOf(endpoints, ({ freeAtStart }) => measure(freeAtStart));
    return total === 0 ? 0 : 1 - free / total;
  };
  return Math.min(
    utilizationOf(({ accelerators }) => accelerators),
    utilizationOf(coreEquivalentsOf),
  );
}

function sumOf(
  endpoints: readonly fleet.Endpoint[],
  of: (endpoint: fleet.Endpoint) => number,
): number {
  return endpoints.reduce((sum, endpoint) => sum + of(endpoint), 0);
}
