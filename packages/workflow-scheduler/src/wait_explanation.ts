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
  /** Whether the advice allows the unit on an endpoint, with or without a ticket. */
  readonly isAllowed: (unit: Workflow.Unit, endpoint: string) => boolean;
}

/**
 * Returns why a unit was not placed. On a busy fleet it reports missing capacity or the
 * team's share without a further search, which would read all endpoints for each step.
 */
export function waitReasonOf(context: WaitContext): waiting.WaitReason {
  const { unit, endpoints, nowMs, isIdle, isPassedOver } = context;
  if (isWithoutAdvice(context)) return adviceReasonOf(context);
  const isInBackoff = isolation.isSuspect(unit) &&
    isolation.isInCrashBackoff(unit, nowMs);
  if (isInBackoff) return WaitReason.CrashBackoff;
  const eligible = eligibleOf(context);
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

/** Whether advice is needed and no ticket is valid for a usable endpoint. */
function isWithoutAdvice({ unit, endpoints }: WaitContext): boolean {
  return unit.workflow.spec.policy.advice !== null && endpoints.length === 0;
}

/** Tells a step that waits for an answer from one whose allowed endpoints are away. */
function adviceReasonOf(
  { unit, all, isAllowed }: WaitContext,
): waiting.WaitReason {
  const allowed = all.filter(({ state }) =>
    fleet.matchesUnit(state, unit) && isAllowed(unit, state.id)
  );
  const isAway = allowed.length > 0 &&
    !allowed.some(({ state }) => fleet.isEligible(state, unit));
  return isAway ? WaitReason.AllowedEndpoints : WaitReason.Advice;
}

/** Endpoints that accept the unit; with advice, those that it may use. */
function eligibleOf(
  { unit, endpoints, all }: WaitContext,
): readonly fleet.Endpoint[] {
  if (unit.workflow.spec.policy.advice !== null) return endpoints;
  return all.filter(({ state }) => fleet.isEligible(state, unit));
}
