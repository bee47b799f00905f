/**
 * Makes a forecast of room from what runs and what waits. It is cautious: the room
 * of a service counts as one pool, runs end no later than estimated, and of the work
 * that waits only what surely comes before new work takes room.
 */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";
import type * as loads from "./load.ts";
import * as pools from "./room_pool.ts";

/** Makes a forecast. */
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
  const isOfIt = (one: { readonly service: string }) => one.service === service;
  const { isInOrder } = load;
  const endpoints = load.endpoints.filter(isOfIt);
  const runs = load.runs.filter(isOfIt);
  const waits = load.waits.filter(isOfIt).sort(byRankAndDue);
  const total = endpoints.map((one) => one.total)
    .reduce(amounts.add, amounts.NOTHING);
  const before = load.before?.services.find(isOfIt);
  const sizes = sizesOf(endpoints, total, before);
  // Endpoints that were seen and are not listed may be back at any moment, empty.
  const most = { total: sizes.total, runs, waits, isInOrder };
  const room = priorities.map((priority) => roomAhead(most, priority));
  return { service, ...sizes, room };
}

function byRankAndDue(a: loads.Wait, b: loads.Wait): number {
  return a.rank - b.rank || a.dueInMs - b.dueInMs;
}

type Sizes = Pick<
  forecasts.ServiceForecast,
  "largest" | "largestRack" | "total" | "fastest"
>;

/** The largest sizes that were seen, now or before. */
function sizesOf(
  endpoints: readonly loads.EndpointSize[],
  total: Workflow.Resources,
  before: Sizes | undefined,
): Sizes {
  const racks = new Map<string, Workflow.Resources>();
  let largest = before?.largest ?? amounts.NOTHING;
  let fastest = Math.max(1, before?.fastest ?? 1);
  for (const endpoint of endpoints) {
    const rack = racks.get(endpoint.rack) ?? amounts.NOTHING;
    racks.set(endpoint.rack, amounts.add(rack, endpoint.total));
    largest = amounts.larger(largest, endpoint.total);
    fastest = Math.max(fastest, endpoint.speed);
  }
  const largestRack = [...racks.values()]
    .reduce(amounts.larger, before?.largestRack ?? amounts.NOTHING);
  const most = amounts.larger(total, before?.total ?? amounts.NOTHING);
  return { largest, largestRack, total: most, fastest };
}

interface ServiceLoad {
  readonly total: Workflow.Resources;
  readonly runs: readonly loads.Run[];
  readonly waits: readonly loads.Wait[];
  readonly isInOrder: boolean;
}

/** Rank of urgent work beyond its guarantee; it makes all later ranks yield. */
const URGENT_RANK = 1;

function roomAhead(
  { total, runs, waits, isInOrder }: ServiceLoad,
  priority: number,
): forecasts.RoomAhead {
  const rank = priority + 1;
  const stays = rank === URGENT_RANK
    ? runs.filter((run) => run.rank <= URGENT_RANK)
    : runs;
  const pool = new pools.RoomPool(total, stays);
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
