/**
 * Claims endpoints on which a unit ends by its objective, where endpoints differ in
 * speed. The planner tries this before the cheapest placement at any speed.
 */
import type * as Workflow from "@cairngate/workflow";
import * as eviction from "./eviction.ts";
import type * as estimates from "./run_estimator.ts";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";
import * as reservation from "./reservation.ts";
import * as bands from "./speed_bands.ts";

/** How a unit gets endpoints that are fast enough. */
export enum How {
  /** The endpoints are free. */
  Free,
  /** The endpoints are being freed by stops that are under way. */
  Freeing,
  /** Other tasks have to stop. */
  Eviction,
  /** The runs on the endpoints are expected to end early enough. */
  Ends,
}

/** Endpoints that are fast enough and how the unit gets them. */
export type Claim =
  | { readonly how: How.Free | How.Freeing | How.Ends; readonly places: Places }
  | { readonly how: How.Eviction; readonly eviction: eviction.Eviction };

type Places = placement.Placement;

/** Inputs of a claim. */
export interface ClaimContext {
  readonly estimator: estimates.RunEstimator;
  readonly evictionContext: eviction.EvictionContext;
  readonly runEndContext: reservation.RunEndContext;
  /** Whether the unit may wait for stops although slower endpoints are free. */
  readonly mayClaim: boolean;
  /** Whether the unit may wait for runs to end although slower endpoints are free. */
  readonly mayWait: () => boolean;
  /** Whether an eviction gains at least as much work as it loses. */
  readonly isWorth: (found: eviction.Eviction) => boolean;
}

/**
 * Whether the loss on fast endpoints exceeds the loss on endpoints of any speed by no
 * more than the unit's own work. A guarantee covers capacity, not speed.
 */
export function isSpeedWorthLoss(
  unit: Workflow.Unit,
  { loss }: eviction.Eviction,
  lossAtAnySpeed: number,
): boolean {
  return loss - lossAtAnySpeed <= eviction.coreSecondsOf(unit);
}

/** Finds endpoints that are fast enough for a unit; null if there are none. */
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
  // If every endpoint is fast enough, the planner evicts where that is cheapest.
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
