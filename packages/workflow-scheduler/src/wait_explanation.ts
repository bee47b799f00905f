/** Determines why a ready unit was not placed in a plan. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";
import * as isolation from "./isolation.ts";
import * as placement from "./placement.ts";
import * as retry from "./retry_pause.ts";
import * as waiting from "./wait_reason.ts";

const { WaitReason } = waiting;

/** Inputs for determining the reason. */
export interface WaitContext {
  readonly unit: Workflow.Unit;
  /** Endpoints that the unit was allowed to use. */
  readonly endpoints: readonly fleet.Endpoint[];
  /** All endpoints of the plan. */
  readonly all: readonly fleet.Endpoint[];
  readonly nowMs: number;
  /** Whether most of the fleet is free. */
  readonly isIdle: boolean;
  /** Whether units with later objectives went first. */
  readonly isPassedOver: boolean;
}

/**
 * Returns why a unit was not placed. On a busy fleet it reports missing capacity or the
 * team's share without a further search, which would read all endpoints for each step.
 */
export function waitReasonOf(context: WaitContext): waiting.WaitReason {
  const { unit, endpoints, nowMs, isIdle, isPassedOver } = context;
  if (unit.workflow.spec.policy.advice !== null) return WaitReason.Advice;
  const isInBackoff = isolation.isSuspect(unit) &&
    isolation.isInCrashBackoff(unit, nowMs);
  if (isInBackoff) return WaitReason.CrashBackoff;
  const eligible = context.all.filter(({ state }) =>
    fleet.isEligible(state, unit)
  );
  if (eligible.length === 0) return WaitReason.Endpoints;
  if (!isIdle) return isPassedOver ? WaitReason.Share : WaitReason.Room;
  const fits = (
    among: readonly fleet.Endpoint[],
    freeOf: placement.FreeOf,
  ) => placement.findAmong(unit, among, freeOf) !== null;
  if (fits(endpoints, placement.freeNow)) return WaitReason.NearData;
  const reliable = retry.withoutUnreliable(unit, eligible, nowMs);
  if (fits(reliable, placement.freeNow)) return WaitReason.OwnEndpoint;
  if (fits(eligible, placement.freeNow)) return WaitReason.UnreliableEndpoints;
  if (isPassedOver) return WaitReason.Share;
  return fits(eligible, placement.freeAtStart)
    ? WaitReason.Reserved
    : WaitReason.Room;
}
