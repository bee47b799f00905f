/** Counts the endpoints that have capacity for a unit, usable or not. */
import type * as Workflow from "@cairngate/workflow";
import * as fleet from "./fleet.ts";

/** Numbers of endpoints that have the service and label of a unit. */
export interface EndpointCounts {
  /** All endpoints with the service and label. */
  readonly total: number;
  /** Endpoints that accept new runs now. */
  readonly usable: number;
  /** Endpoints with free capacity for at least one task of the unit, usable or not. */
  readonly withCapacity: number;
}

/** Counts the endpoints that match a unit. */
export function countEndpoints(
  unit: Workflow.Unit,
  states: readonly fleet.EndpointSnapshot[],
): EndpointCounts {
  const matching = states.filter((state) => fleet.matchesUnit(state, unit));
  const withCapacity = matching.filter((state) => {
    const endpoint = new fleet.Endpoint(state);
    return endpoint.fits(unit, endpoint.free) > 0;
  });
  return {
    total: matching.length,
    usable: matching.filter(({ usable }) => usable).length,
    withCapacity: withCapacity.length,
  };
}
