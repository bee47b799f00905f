/**
 * Isolates suspects, tasks that were running when an endpoint crashed. A suspect runs
 * alone, so that another crash affects no other task and identifies its cause.
 */
import * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as placement from "./placement.ts";

/**
 * Time that a suspect of several crashes waits for an empty endpoint before it starts
 * beside other tasks, in ms. A crashed endpoint is back, empty, after about 3 s. After
 * a single crash most suspects only ran beside the cause, up to eight on one endpoint,
 * so none of them waits.
 */
const EMPTY_ENDPOINT_WAIT_MS = 2000;
const WAIT_FROM_CRASHES = 2;

/** Whether a unit has a task that may crash its endpoint. */
export function isSuspect(unit: Workflow.Unit): boolean {
  return unit.tasks.some((task) => task.isSuspect);
}

/** Endpoints that a suspect may use now. */
export function endpointsForSuspect(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  nowMs: number,
): readonly fleet.Endpoint[] {
  if (isInCrashBackoff(unit, nowMs)) return [];
  const empty = endpoints.filter((endpoint) => endpoint.isEmpty);
  // An endpoint that crashed lately may crash again without any task causing it.
  const stable = empty.filter(({ state }) => !state.hasCrashedLately);
  if (fitsNearData(unit, stable)) return stable;
  if (fitsNearData(unit, empty)) return empty;
  const crashes = Math.max(...unit.tasks.map((task) => task.crashes.laid));
  if (crashes < WAIT_FROM_CRASHES) return endpoints;
  return waitedMs(unit, nowMs) < EMPTY_ENDPOINT_WAIT_MS ? [] : endpoints;
}

/** Whether a unit is in backoff because it may have crashed too many endpoints. */
export function isInCrashBackoff(unit: Workflow.Unit, nowMs: number): boolean {
  const backoffMs = Math.max(
    ...unit.tasks.map(({ possibleCrashes, spentStarts }) =>
      Workflow.restartDelayMs(possibleCrashes, spentStarts)
    ),
  );
  return waitedMs(unit, nowMs) < backoffMs;
}

function waitedMs(unit: Workflow.Unit, nowMs: number): number {
  return nowMs - Math.min(...unit.tasks.map((t) => t.waitingSinceMs));
}

/** Whether the unit fits near its data; elsewhere it would run much longer. */
function fitsNearData(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
): boolean {
  return placement.findNear(unit, endpoints, placement.freeNow) !== null;
}
