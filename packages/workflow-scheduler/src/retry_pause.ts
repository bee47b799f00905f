/**
 * When work that has failed may start again. Endpoints that fail all they start do
 * so for some seconds, at once after the start, and on days with trouble a sixth of
 * them does: a gang on 23 endpoints used up its four attempts within 1.4 s there. So
 * the attempts that are left are spread over the time that the work has to spare,
 * which costs no caller anything.
 */
import * as Workflow from "@cairngate/workflow";
import * as rank from "./rank.ts";

/**
 * Longest pause after a failure, in ms. Users allow work to stand still for 3 s
 * while there is room; the rest is for a plan, its record and the start.
 */
const MOST_PAUSE_MS = 2000;

/**
 * Time after a failure, in ms, in which a unit starts on no endpoint that may fail
 * whatever it starts; later it takes what there is, because users allow work to
 * stand still for 3 s while there is room.
 */
const AVOIDS_DOUBT_MS = 2500;

/** Whether a unit uses only endpoints that are not in doubt. */
export function avoidsDoubt(unit: Workflow.Unit, nowMs: number): boolean {
  const failedAtMs = Math.max(...unit.tasks.map((task) => task.failedAtMs));
  return nowMs - failedAtMs < AVOIDS_DOUBT_MS;
}

/** Whether a unit that has failed should wait before it starts again. */
export function mustPause(
  unit: Workflow.Unit,
  now: { readonly nowMs: number; readonly wallMs: number },
): boolean {
  const failures = Math.max(...unit.tasks.map((task) => task.failures));
  if (failures === 0 || unit.step.lasting) return false;
  const failedAtMs = Math.max(...unit.tasks.map((task) => task.failedAtMs));
  const sinceMs = now.nowMs - failedAtMs;
  if (sinceMs >= MOST_PAUSE_MS) return false;
  return sinceMs < pauseMs(unit, failures, now.wallMs - sinceMs);
}

/** Shares the time to spare, as it was at the failure, among the starts left. */
function pauseMs(
  unit: Workflow.Unit,
  failures: number,
  failedAtWallMs: number,
): number {
  const startsLeft = unit.workflow.spec.policy.attempts - failures;
  const spareMs = rank.spareMs(unit, failedAtWallMs);
  return Math.min(MOST_PAUSE_MS, spareMs / (Math.max(0, startsLeft) + 1));
}
