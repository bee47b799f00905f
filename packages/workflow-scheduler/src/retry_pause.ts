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
const MAX_PAUSE_MS = 2000;

/**
 * A run that fails later than this after its start was planned, in ms, has failed by
 * itself, and waiting wins it nothing. Endpoints that fail what they start do so
 * within 0.1 s (endpoint_health.ts); the record and two tries of the order come before.
 */
const EARLY_FAILURE_MS = 1000;

/**
 * Time after a failure, in ms, in which a unit starts on no endpoint that may fail
 * whatever it starts; later it takes what there is, because users allow work to
 * stand still for 3 s while there is room.
 */
const AVOID_UNRELIABLE_MS = 2500;
/**
 * The same before its last start, while most endpoints are not in doubt: as long as
 * an endpoint stays so. Urgent gangs on a full fleet took free room in doubt after
 * 2.5 s and lost their last try there.
 */
const AVOID_UNRELIABLE_LAST_START_MS = 5000;

/** Those of the rooms on which a unit that has failed may start now. */
export function withoutUnreliable(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  nowMs: number,
): readonly fleet.Endpoint[] {
  const failedAtMs = Math.max(...unit.tasks.map((task) => task.failedAtMs));
  const sinceMs = nowMs - failedAtMs;
  if (sinceMs >= AVOID_UNRELIABLE_LAST_START_MS) return endpoints;
  const reliable = endpoints.filter(({ state }) => state.isDoubted !== true);
  const isLast = startsLeft(unit) <= 1 &&
    reliable.length * 2 > endpoints.length;
  return sinceMs < AVOID_UNRELIABLE_MS || isLast ? reliable : endpoints;
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
  if (sinceMs >= MAX_PAUSE_MS || !hasFailedEarly(unit, failedAtMs)) {
    return false;
  }
  return sinceMs < pauseMs(unit, now.wallMs - sinceMs);
}

/** Whether the newest failure of a unit came at once after a start. */
function hasFailedEarly(unit: Workflow.Unit, failedAtMs: number): boolean {
  return unit.tasks.some((task) =>
    task.failedAtMs === failedAtMs && task.failedAfterMs < EARLY_FAILURE_MS
  );
}

/** Shares the time to spare, as it was at the failure, among the starts left. */
function pauseMs(unit: Workflow.Unit, failedAtWallMs: number): number {
  const slackMs = rank.slackMs(unit, failedAtWallMs);
  return Math.min(MAX_PAUSE_MS, slackMs / (Math.max(0, startsLeft(unit)) + 1));
}
