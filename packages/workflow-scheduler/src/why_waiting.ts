/** Tells why a unit that is ready found no place in a plan. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";
import * as isolation from "./isolation.ts";
import * as placement from "./placement.ts";
import * as retry from "./retry_pause.ts";
import * as waiting from "./wait_reason.ts";

const { WaitReason } = waiting;

/** What the reason is judged by. */
export interface Waited {
  readonly unit: Workflow.Unit;
  /** Rooms that it could have used. */
  readonly rooms: readonly fleet.EndpointRoom[];
  /** All rooms of the plan. */
  readonly all: readonly fleet.EndpointRoom[];
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
export function whyWaiting(waited: Waited): waiting.WaitReason {
  const { unit, rooms, nowMs, isIdle, isPassedOver } = waited;
  if (unit.workflow.spec.policy.advice !== null) return WaitReason.Advice;
  const isHeld = isolation.isSuspect(unit) &&
    isolation.isHeldBack(unit, nowMs);
  if (isHeld) return WaitReason.Hold;
  const eligible = waited.all.filter(({ worker }) =>
    fleet.isEligible(worker, unit)
  );
  if (eligible.length === 0) return WaitReason.Endpoints;
  if (!isIdle) return isPassedOver ? WaitReason.Share : WaitReason.Room;
  const fitsAmong = (
    some: readonly fleet.EndpointRoom[],
    roomOf: placement.RoomOf,
  ) => placement.findAmong(unit, some, roomOf) !== null;
  if (fitsAmong(rooms, placement.freeNow)) return WaitReason.NearData;
  const steady = retry.roomsWithoutDoubt(unit, eligible, nowMs);
  if (fitsAmong(steady, placement.freeNow)) return WaitReason.OwnEndpoint;
  if (fitsAmong(eligible, placement.freeNow)) return WaitReason.Doubt;
  if (isPassedOver) return WaitReason.Share;
  return fitsAmong(eligible, placement.freeBefore)
    ? WaitReason.Reserved
    : WaitReason.Room;
}
