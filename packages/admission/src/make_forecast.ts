/**
 * Makes a capacity forecast from running and waiting work. It never underestimates
 * free capacity: the endpoints of a service count as one pool, runs end no later
 * than estimated, and only waiting work that certainly precedes new work takes
 * capacity.
 */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";
import type * as loads from "./load.ts";
import * as capacityPools from "./capacity_pool.ts";

/** Makes a forecast for all services. */
export function makeForecast(load: loads.Load): forecasts.Forecast {
  const services = [...load.priorities].map(([service, priorities]) =>
    forecastService(load, service, priorities)
  );
  const urgentUse = [...load.urgentUse].filter(([, used]) => used > 0);
  const { number, remotePenalty } = load;
  const boxes = Math.max(1, load.boxes);
  return { number, boxes, remotePenalty, services, urgentUse };
}

function forecastService(
  load: loads.Load,
  service: string,
  priorities: readonly number[],
): forecasts.ServiceForecast {
  const isOfService = (item: { readonly service: string }) =>
    item.service === service;
  const { isInOrder } = load;
  const endpoints = load.endpoints.filter(isOfService);
  const runs = load.runs.filter(isOfService);
  const waits = load.waits.filter(isOfService).sort(byRankAndDue);
  const total = endpoints.map((endpoint) => endpoint.total)
    .reduce(amounts.add, amounts.ZERO);
  const previous = load.before?.services.find(isOfService);
  const sizes = sizesOf(endpoints, total, previous);
  // Endpoints that were seen and are no longer listed may come back at any moment
  // without work.
  const serviceLoad = { total: sizes.total, runs, waits, isInOrder };
  const room = priorities.map((priority) =>
    forecastPriority(serviceLoad, priority)
  );
  return { service, ...sizes, room };
}

function byRankAndDue(a: loads.WaitingTasks, b: loads.WaitingTasks): number {
  return a.rank - b.rank || a.dueInMs - b.dueInMs;
}

type Sizes = Pick<
  forecasts.ServiceForecast,
  "largest" | "largestRack" | "total" | "fastest"
>;

/** The largest sizes seen so far, including the previous forecast. */
function sizesOf(
  endpoints: readonly loads.EndpointSize[],
  total: Workflow.Resources,
  previous: Sizes | undefined,
): Sizes {
  const racks = new Map<string, Workflow.Resources>();
  let largest = previous?.largest ?? amounts.ZERO;
  let fastest = Math.max(1, previous?.fastest ?? 1);
  for (const endpoint of endpoints) {
    const rack = racks.get(endpoint.rack) ?? amounts.ZERO;
    racks.set(endpoint.rack, amounts.add(rack, endpoint.total));
    largest = amounts.maxOf(largest, endpoint.total);
    fastest = Math.max(fastest, endpoint.speed);
  }
  const largestRack = [...racks.values()]
    .reduce(amounts.maxOf, previous?.largestRack ?? amounts.ZERO);
  const maxTotal = amounts.maxOf(total, previous?.total ?? amounts.ZERO);
  return { largest, largestRack, total: maxTotal, fastest };
}

interface ServiceLoad {
  readonly total: Workflow.Resources;
  readonly runs: readonly loads.RunningTask[];
  readonly waits: readonly loads.WaitingTasks[];
  readonly isInOrder: boolean;
}

/** Rank of urgent work beyond its guarantee; it preempts all lower ranks. */
const URGENT_RANK = 1;

function forecastPriority(
  { total, runs, waits, isInOrder }: ServiceLoad,
  priority: number,
): forecasts.PriorityCapacity {
  const rank = priority + 1;
  const keptRuns = rank === URGENT_RANK
    ? runs.filter((run) => run.rank <= URGENT_RANK)
    : runs;
  const pool = new capacityPools.CapacityPool(total, keptRuns);
  for (const wait of waits) if (wait.rank < rank) pool.place(wait);
  const first = pool.curve();
  if (!isInOrder) return { priority, first, last: first, lastDueMs: 0 };
  let lastDueMs = 0;
  for (const wait of waits) {
    if (wait.rank !== rank || !pool.placeInTime(wait)) continue;
    lastDueMs = Math.max(lastDueMs, wait.dueInMs);
  }
  return { priority, first, last: pool.curve(), lastDueMs };
}
