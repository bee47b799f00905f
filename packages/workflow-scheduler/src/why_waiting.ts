/** Tells why a unit that is ready found no place in a plan. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";
import * as isolation from "./isolation.ts";
import * as placement from "./placement.ts";
import * as retry from "./retry_pause.ts";
import * as waiting from "./wait_reason.ts";

const { WaitReason } = waiting;

/** What the reason is judged by. */
export interface WaitContext {
  readonly unit: Workflow.Unit;
  /** Rooms that it could have used. */
  readonly endpoints: readonly fleet.Endpoint[];
  /** All rooms of the plan. */
  readonly all: readonly fleet.Endpoint[];
  readonly nowMs: number;
  /** Most of the fleet is free. */
  readonly isIdle: boolean;
  /** Others with later objectives went first. */
  readonly isPassedOver: boolean;
}

/**
 * Why a unit found no place. On a fleet that is mostly in use the answer is room; to
 * look further for each waiting step would cost a search of all endpoints.
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
