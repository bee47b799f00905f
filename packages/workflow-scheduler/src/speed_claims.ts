/**
 * Chooses room for a unit where endpoints differ in speed: on those on which it ends
 * by its objective, before the cheapest room is looked for at any speed.
 */
import type * as Workflow from "@cairngate/workflow";
import * as eviction from "./eviction.ts";
import type * as outlooks from "./expected_run.ts";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import * as reservation from "./reservation.ts";
import * as bands from "./speed_bands.ts";

/** How a unit gets room that is fast enough. */
export enum Way {
  /** The room is free. */
  Free,
  /** It is being freed. */
  Soon,
  /** Others have to stop. */
  Stops,
  /** Runs there end early enough by themselves. */
  Ends,
}

/** Room that is fast enough. */
export type Claim =
  | { readonly way: Way.Free | Way.Soon | Way.Ends; readonly places: Places }
  | { readonly way: Way.Stops; readonly found: eviction.Eviction };

type Places = placement.Places;

/** What a claim works with. */
export interface ClaimContext {
  readonly outlook: outlooks.RunOutlook;
  readonly evictions: eviction.EvictionContext;
  readonly endings: reservation.EndingContext;
  /** Whether the unit may claim room while slower room is to be had at once. */
  readonly mayClaim: boolean;
  /** Whether it may wait for an end while slower room is to be had at once. */
  readonly mayWait: () => boolean;
  /** Whether a set of stops brings more than it costs. */
  readonly isWorth: (found: eviction.Eviction) => boolean;
}

/**
 * Whether stops on fast endpoints cost others no more than the unit brings, beyond the
 * stops that it would cause on slower ones: a guarantee is for room, not for speed.
 */
export function isWorthSpeed(
  unit: Workflow.Unit,
  { loss }: eviction.Eviction,
  lossAnyhow: number,
): boolean {
  return loss - lossAnyhow <= eviction.workOf(unit);
}

/** Finds room on endpoints that are fast enough; null where there is none. */
export function findFast(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  context: ClaimContext,
): Claim | null {
  const { outlook, evictions: { wallMs } } = context;
  const fast = bands.fastRooms(rooms, outlook.neededSpeed(unit, wallMs));
  if (fast.length === 0) return null;
  const free = bands.findAlike(unit, fast, placement.freeNow);
  if (free !== null) return { way: Way.Free, places: free };
  const isUrgent = unit.workflow.spec.policy.priority === 0;
  // Where every endpoint will do, room is made where it costs least, as elsewhere.
  if (!isUrgent || fast.length === rooms.length) return null;
  return findByStops(unit, fast, context) ?? findByEnds(unit, fast, context);
}

function findByStops(
  unit: Workflow.Unit,
  fast: readonly fleet.EndpointRoom[],
  context: ClaimContext,
): Claim | null {
  if (!context.mayClaim) return null;
  const soon = bands.findAlike(unit, fast, placement.freeSoon);
  if (soon !== null) return { way: Way.Soon, places: soon };
  const { outlook, evictions } = context;
  const needed = outlook.neededSpeedAfterStops(unit, evictions.wallMs);
  const rooms = bands.fastRooms(fast, needed);
  const found = eviction.findEviction(unit, rooms, evictions);
  if (found === null || !context.isWorth(found)) return null;
  return { way: Way.Stops, found };
}

function findByEnds(
  unit: Workflow.Unit,
  fast: readonly fleet.EndpointRoom[],
  context: ClaimContext,
): Claim | null {
  if (!context.mayWait()) return null;
  const { outlook, endings, evictions: { wallMs } } = context;
  const found = reservation.findEarliest(unit, fast, endings);
  if (found === null) return null;
  const start = {
    wallMs: wallMs + found.atMs - endings.nowMs,
    slowest: bands.slowestOf(found.places),
  };
  if (!outlook.endsInTime(unit, start)) return null;
  return { way: Way.Ends, places: found.places };
}
