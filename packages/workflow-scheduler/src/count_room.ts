/** Counts the endpoints that have capacity for a unit, usable or not. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";

/** Numbers of endpoints that have the service and label of a unit. */
export interface RoomCount {
  /** All endpoints with the service and label. */
  readonly known: number;
  /** Endpoints that accept new runs now. */
  readonly usable: number;
  /** Endpoints with free capacity for at least one task of the unit, usable or not. */
  readonly couldHold: number;
}

/** Counts the endpoints that match a unit. */
export function countRoom(
  unit: Workflow.Unit,
  states: readonly fleet.WorkerState[],
): RoomCount {
  const matching = states.filter((state) => fleet.isOfKind(state, unit));
  const couldHold = matching.filter((state) => {
    const endpoint = new fleet.Endpoint(state);
    return endpoint.fits(unit, endpoint.free) > 0;
  });
  return {
    known: matching.length,
    usable: matching.filter(({ usable }) => usable).length,
    couldHold: couldHold.length,
  };
}
