/** Counts the endpoints that could hold a unit, whether or not they may be used. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";

/** Endpoints of a unit's service and kind. */
export interface RoomCount {
  readonly known: number;
  /** Those that may be given work now. */
  readonly usable: number;
  /** Those with free room for a task of the unit, usable or not. */
  readonly couldHold: number;
}

/** Counts them. */
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
