/** Runs on endpoints that held more than they have room for, seen from outside. */
import type * as fleets from "./test_fleet.ts";

/**
 * Starts that brought an endpoint over its room. A run that is being stopped holds
 * its room until it has ended.
 *
 * @param sizes accelerators of the endpoints, by the place of their address
 */
export function findOverfull(
  fleet: fleets.TestFleet,
  sizes: readonly number[],
): string[] {
  fleet.workers.settle();
  const { runs } = fleet.workers;
  return runs.flatMap(({ task, run, worker, startedAtMs }, at) => {
    const held = runs.filter((note, i) =>
      i <= at && note.worker === worker &&
      (note.endedAtMs ?? Number.POSITIVE_INFINITY) > startedAtMs
    );
    const room = sizes[fleet.placeOf(worker)];
    return held.length > room
      ? [`${task} run ${run}: ${held.length} on ${worker}, room ${room}`]
      : [];
  });
}
