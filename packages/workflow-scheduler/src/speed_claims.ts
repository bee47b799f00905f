/**
 * Chooses room for a unit where endpoints differ in speed: on those on which it ends
 * by its objective, before the cheapest room is looked for at any speed.
 */
import type * as Workflow from "@cairngate/workflow";
import * as eviction from "./eviction.ts";
import type * as estimates from "./expected_run.ts";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import * as reservation from "./reservation.ts";
import * as bands from "./speed_bands.ts";

/** How a unit gets room that is fast enough. */
export enum How {
  /** The room is free. */
  Free,
  /** It is being freed. */
  Freeing,
  /** Others have to stop. */
  Eviction,
  /** Runs there end early enough by themselves. */
  Ends,
}

/** Room that is fast enough. */
export type Claim =
  | { readonly how: How.Free | How.Freeing | How.Ends; readonly places: Places }
  | { readonly how: How.Eviction; readonly eviction: eviction.Eviction };

type Places = placement.Placement;

/** What a claim works with. */
export interface ClaimContext {
  readonly estimator: estimates.RunEstimator;
  readonly evictionContext: eviction.EvictionContext;
  readonly runEndContext: reservation.RunEndContext;
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
export function isSpeedWorthLoss(
  unit: Workflow.Unit,
  { loss }: eviction.Eviction,
  lossAtAnySpeed: number,
): boolean {
  return loss - lossAtAnySpeed <= eviction.coreSecondsOf(unit);
}

/** Finds room on endpoints that are fast enough; null where there is none. */
export function findFastEnough(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  context: ClaimContext,
): Claim | null {
  const { estimator, evictionContext: { wallMs } } = context;
  const fast = bands.fastEndpoints(
    endpoints,
    estimator.neededSpeed(unit, wallMs),
  );
  if (fast.length === 0) return null;
  const free = bands.findSimilarSpeed(unit, fast, placement.freeNow);
  if (free !== null) return { how: How.Free, places: free };
  const isUrgent = unit.workflow.spec.policy.priority === 0;
  // Where every endpoint will do, room is made where it costs least, as elsewhere.
  if (!isUrgent || fast.length === endpoints.length) return null;
  return findByStops(unit, fast, context) ?? findByRunEnds(unit, fast, context);
}

function findByStops(
  unit: Workflow.Unit,
  fast: readonly fleet.Endpoint[],
  context: ClaimContext,
): Claim | null {
  if (!context.mayClaim) return null;
  const beingFreed = bands.findSimilarSpeed(
    unit,
    fast,
    placement.freeAfterStops,
  );
  if (beingFreed !== null) return { how: How.Freeing, places: beingFreed };
  const { estimator, evictionContext } = context;
  const neededSpeed = estimator.neededSpeedAfterStops(
    unit,
    evictionContext.wallMs,
  );
  const endpoints = bands.fastEndpoints(fast, neededSpeed);
  const found = eviction.findEviction(unit, endpoints, evictionContext);
  if (found === null || !context.isWorth(found)) return null;
  return { how: How.Eviction, eviction: found };
}

function findByRunEnds(
  unit: Workflow.Unit,
  fast: readonly fleet.Endpoint[],
  context: ClaimContext,
): Claim | null {
  if (!context.mayWait()) return null;
  const { estimator, runEndContext, evictionContext: { wallMs } } = context;
  const found = reservation.findEarliest(unit, fast, runEndContext);
  if (found === null) return null;
  const start = {
    wallMs: wallMs + found.atMs - runEndContext.nowMs,
    slowestSpeed: bands.slowestOf(found.places),
  };
  if (!estimator.canEndInTime(unit, start)) return null;
  return { how: How.Ends, places: found.places };
}
