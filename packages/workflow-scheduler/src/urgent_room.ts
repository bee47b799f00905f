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
const MAX_RESERVED_SHARE = 0.15;

/**
 * Nothing is left free while less than this share is in use: users allow no work to
 * stand still for seconds while under half of the fleet is.
 */
const MIN_UTILIZATION = 0.6;

/** Accelerators to leave free: what comes while a stop takes place, and one wide unit. */
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
 * The endpoints of one service to leave free: those of one rack after another, the
 * emptiest first, as wide gangs want whole endpoints of one rack.
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

/** Whether a unit may take room that is left free for urgent work. */
export function mayUseReserve({ step, workflow }: Workflow.Unit): boolean {
  const isOrdinary = workflow.spec.policy.priority > 0;
  return !isOrdinary || step.checkpoints || step.lasting;
}

interface ReservableEndpoint {
  readonly endpoint: fleet.Endpoint;
  /** Accelerators that are free, or held by work that stops cheaply. */
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
  const cheapToStop = state.occupants.filter(isCheapToStop);
  return cheapToStop.reduce((sum, { step }) => sum + step.accelerators, 0) +
    freeAfterStops.accelerators;
}

function isCheapToStop({ step, workflow }: Workflow.Task): boolean {
  return step.checkpoints && !step.lasting &&
    workflow.spec.policy.priority > 0;
}

/** Cores that one accelerator counts for. */
const ACCELERATOR_WEIGHT = 8;

/** Share in use: of the accelerators, or of them and the cores, whichever is less. */
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
