/** Checks that no endpoint runs more tasks than it has accelerators. */
import type * as fleets from "./test_fleet.ts";

/**
 * Describes the starts that exceeded the capacity of an endpoint. A run that is being
 * stopped occupies its accelerator until it has ended.
 *
 * @param sizes accelerators of the endpoints, by index of their address
 */
export function findOverloaded(
  fleet: fleets.TestFleet,
  sizes: readonly number[],
): string[] {
  fleet.workers.update();
  const { runs } = fleet.workers;
  return runs.flatMap(({ task, run, worker, startedAtMs }, index) => {
    const concurrent = runs.filter((record, i) =>
      i <= index && record.worker === worker &&
      (record.endedAtMs ?? Number.POSITIVE_INFINITY) > startedAtMs
    );
    const capacity = sizes[fleet.indexOf(worker)];
    return concurrent.length > capacity
      ? [
        `${task} run ${run}: ${concurrent.length} on ${worker}, capacity ${capacity}`,
      ]
      : [];
  });
}
