/**
 * Where a task runs under which an endpoint has crashed: by itself, so that the
 * next crash hurts nobody else and tells whose doing it was.
 */
import * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";

/**
 * A task under which several endpoints have crashed waits this long, in ms, for an
 * endpoint of its own before it starts beside others: a crashed endpoint is back,
 * empty, after about 3 s. After a single crash most tasks are neighbours of the one
 * that did it, up to eight on one endpoint, and none of them waits.
 */
const EMPTY_ENDPOINT_WAIT_MS = 2000;
const WAIT_FROM_CRASHES = 2;

/** Whether one of its tasks may crash its endpoint. */
export function isSuspect(unit: Workflow.Unit): boolean {
  return unit.tasks.some((task) => task.isSuspect);
}

/** The rooms that a suspect may use now. */
export function endpointsForSuspect(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  nowMs: number,
): readonly fleet.Endpoint[] {
  if (isInCrashBackoff(unit, nowMs)) return [];
  const empty = endpoints.filter((endpoint) => endpoint.isEmpty);
  // One that has crashed may do so again, and no task would be to blame.
  const stable = empty.filter(({ state }) => !state.hasCrashedLately);
  if (fitsNearData(unit, stable)) return stable;
  if (fitsNearData(unit, empty)) return empty;
  const crashes = Math.max(...unit.tasks.map((task) => task.crashes.laid));
  if (crashes < WAIT_FROM_CRASHES) return endpoints;
  return waitedMs(unit, nowMs) < EMPTY_ENDPOINT_WAIT_MS ? [] : endpoints;
}

/** Whether it waits because it may have crashed too many endpoints. */
export function isInCrashBackoff(unit: Workflow.Unit, nowMs: number): boolean {
  const backoffMs = Math.max(
    ...unit.tasks.map(({ possibleCrashes, spentStarts }) =>
      Workflow.holdMs(possibleCrashes, spentStarts)
    ),
  );
  return waitedMs(unit, nowMs) < backoffMs;
}

function waitedMs(unit: Workflow.Unit, nowMs: number): number {
  return nowMs - Math.min(...unit.tasks.map((t) => t.waitingSinceMs));
}

/** Far from its data, or on several racks, it would run much longer. */
function fitsNearData(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
): boolean {
  return placement.findNear(unit, endpoints, placement.freeNow) !== null;
}
