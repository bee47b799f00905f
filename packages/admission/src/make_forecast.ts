/**
 * Makes a forecast of room from what runs and what waits. It is cautious: the room
 * of a service counts as one pool, runs end no later than estimated, and of the work
 * that waits only what surely comes before new work takes room.
 */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";
import * as pools from "./room_pool.ts";

/** One endpoint that is listed, whether or not it may be given work now. */
export interface EndpointSize {
  readonly service: string;
  readonly rack: string;
  readonly total: Workflow.Resources;
  readonly speed: number;
}

/** One run that an endpoint holds. */
export interface Run {
  readonly service: string;
  /** 0: urgent and guaranteed; else one more than the priority. */
  readonly rank: number;
  readonly need: Workflow.Resources;
  /** Earliest time by which it may end, in ms. */
  readonly leftMs: number;
}

/** Tasks of one step that wait. */
export interface Wait {
  readonly service: string;
  readonly rank: number;
  readonly need: Workflow.Resources;
  readonly count: number;
  readonly gang: boolean;
  /** Shortest time that one of them runs, in ms. */
  readonly runMs: number;
  /** Time by which they should end, in ms from now. */
  readonly dueInMs: number;
}

/** What a forecast is made from. */
export interface Load {
  readonly boxes: number;
  readonly remotePenalty: number;
  readonly endpoints: readonly EndpointSize[];
  readonly runs: readonly Run[];
  readonly waits: readonly Wait[];
  /** Priorities of the queues of each service. */
  readonly priorities: ReadonlyMap<string, readonly number[]>;
  readonly urgentUse: ReadonlyMap<string, number>;
  /** The forecast before; endpoints that it tells of may come back. */
  readonly before: forecasts.Forecast | null;
}

/** Makes a forecast. */
export function makeForecast(load: Load): forecasts.Forecast {
  const services = [...load.priorities].map(([service, priorities]) =>
    forecastService(load, service, priorities)
  );
  const urgentUse = [...load.urgentUse].filter(([, used]) => used > 0);
  const { boxes, remotePenalty } = load;
  return { boxes: Math.max(1, boxes), remotePenalty, services, urgentUse };
}

function forecastService(
  load: Load,
  service: string,
  priorities: readonly number[],
): forecasts.ServiceForecast {
  const isOfIt = (one: { readonly service: string }) => one.service === service;
  const endpoints = load.endpoints.filter(isOfIt);
  const runs = load.runs.filter(isOfIt);
  const waits = load.waits.filter(isOfIt).sort(byRankAndDue);
  const total = endpoints.map((one) => one.total)
    .reduce(amounts.add, amounts.NOTHING);
  const room = priorities.map((priority) =>
    roomAhead({ total, runs, waits }, priority)
  );
  const before = load.before?.services.find(isOfIt);
  return { service, ...sizesOf(endpoints, total, before), room };
}

function byRankAndDue(a: Wait, b: Wait): number {
  return a.rank - b.rank || a.dueInMs - b.dueInMs;
}

type Sizes = Pick<
  forecasts.ServiceForecast,
  "largest" | "largestRack" | "total" | "fastest"
>;

/** The largest sizes that were seen, now or before. */
function sizesOf(
  endpoints: readonly EndpointSize[],
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
  readonly runs: readonly Run[];
  readonly waits: readonly Wait[];
}

/** Rank of urgent work beyond its guarantee; it makes all later ranks yield. */
const URGENT_RANK = 1;

function roomAhead(
  { total, runs, waits }: ServiceLoad,
  priority: number,
): forecasts.RoomAhead {
  const rank = priority + 1;
  const stays = rank === URGENT_RANK
    ? runs.filter((run) => run.rank <= URGENT_RANK)
    : runs;
  const pool = new pools.RoomPool(total, stays);
  for (const wait of waits) if (wait.rank < rank) pool.place(wait);
  const first = pool.curve();
  let lastDueMs = 0;
  for (const wait of waits) {
    if (wait.rank !== rank || !pool.placeInTime(wait)) continue;
    lastDueMs = Math.max(lastDueMs, wait.dueInMs);
  }
  return { priority, first, last: pool.curve(), lastDueMs };
}
