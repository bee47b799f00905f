/**
 * When work that has failed may start again. Endpoints that fail all they start do
 * so for some seconds, at once after the start, and on days with trouble a sixth of
 * them does: a gang on 23 endpoints used up its four attempts within 1.4 s there. So
 * the attempts that are left are spread over the time that the work has to spare,
 * which costs no caller anything.
 */
import * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as rank from "./rank.ts";

/**
 * Longest pause after a failure, in ms. Users allow work to stand still for 3 s
 * while there is room; the rest is for a plan, its record and the start.
 */
const MOST_PAUSE_MS = 2000;

/**
 * A run that fails later than this after its start was planned, in ms, has failed by
 * itself, and waiting wins it nothing. Endpoints that fail what they start do so
 * within 0.1 s (endpoint_health.ts); the record and two tries of the order come before.
 */
const AT_ONCE_MS = 1000;

/**
 * Time after a failure, in ms, in which a unit starts on no endpoint that may fail
 * whatever it starts; later it takes what there is, because users allow work to
 * stand still for 3 s while there is room.
 */
const AVOIDS_DOUBT_MS = 2500;
/**
 * The same before its last start, while most endpoints are not in doubt: as long as
 * an endpoint stays so. Urgent gangs on a full fleet took free room in doubt after
 * 2.5 s and lost their last try there.
 */
const AVOIDS_DOUBT_LAST_MS = 5000;

/** Those of the rooms on which a unit that has failed may start now. */
export function roomsWithoutDoubt(
  unit: Workflow.Unit,
  rooms: readonly fleet.EndpointRoom[],
  nowMs: number,
): readonly fleet.EndpointRoom[] {
  const failedAtMs = Math.max(...unit.tasks.map((task) => task.failedAtMs));
  const sinceMs = nowMs - failedAtMs;
  if (sinceMs >= AVOIDS_DOUBT_LAST_MS) return rooms;
  const steady = rooms.filter(({ worker }) => worker.isDoubted !== true);
  const isLast = startsLeft(unit) <= 1 && steady.length * 2 > rooms.length;
  return sinceMs < AVOIDS_DOUBT_MS || isLast ? steady : rooms;
}

function startsLeft(unit: Workflow.Unit): number {
  const failures = Math.max(...unit.tasks.map((task) => task.failures));
  return unit.workflow.spec.policy.attempts - failures;
}

/** Whether a unit that has failed should wait before it starts again. */
export function mustPause(
  unit: Workflow.Unit,
  now: { readonly nowMs: number; readonly wallMs: number },
): boolean {
  const hasFailed = unit.tasks.some((task) => task.failures > 0);
  if (!hasFailed || unit.step.lasting) return false;
  const failedAtMs = Math.max(...unit.tasks.map((task) => task.failedAtMs));
  const sinceMs = now.nowMs - failedAtMs;
  if (sinceMs >= MOST_PAUSE_MS || !hasFailedAtOnce(unit, failedAtMs)) {
    return false;
  }
  return sinceMs < pauseMs(unit, now.wallMs - sinceMs);
}

/** Whether the newest failure of a unit came at once after a start. */
function hasFailedAtOnce(unit: Workflow.Unit, failedAtMs: number): boolean {
  return unit.tasks.some((task) =>
    task.failedAtMs === failedAtMs && task.failedAfterMs < AT_ONCE_MS
  );
}

/** Shares the time to spare, as it was at the failure, among the starts left. */
function pauseMs(unit: Workflow.Unit, failedAtWallMs: number): number {
  const spareMs = rank.spareMs(unit, failedAtWallMs);
  return Math.min(MOST_PAUSE_MS, spareMs / (Math.max(0, startsLeft(unit)) + 1));
}
