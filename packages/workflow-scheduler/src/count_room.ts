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
  endpoints: readonly fleet.WorkerState[],
): RoomCount {
  const known = endpoints.filter((endpoint) => fleet.isOfKind(endpoint, unit));
  const couldHold = known.filter((endpoint) => {
    const room = new fleet.EndpointRoom(endpoint);
    return room.fits(unit, room.free) > 0;
  });
  return {
    known: known.length,
    usable: known.filter(({ usable }) => usable).length,
    couldHold: couldHold.length,
  };
}
