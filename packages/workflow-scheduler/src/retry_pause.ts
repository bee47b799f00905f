/**
 * Decides when failed work may start again. A broken endpoint fails every run right
 * after its start for some seconds, and at bad times a sixth of the endpoints is
 * broken: a gang on 23 endpoints used up its four attempts within 1.4 s. Spreading the
 * remaining attempts over the slack of the work avoids this without making any work
 * late.
 */
import * as Workflow from "@cairngate/workflow";
import type * as fleet from "./fleet.ts";
import * as rank from "./rank.ts";

/**
 * Longest pause after a failure, in ms. Users accept that work stands still for 3 s
 * while capacity is free; the rest is for planning, storing the record and the start.
 */
const MAX_PAUSE_MS = 2000;

/**
 * A run that fails later than this after its start was planned, in ms, did not fail
 * because of its endpoint, so a pause gains nothing. Broken endpoints fail a run within
 * 0.1 s of its start (endpoint_health.ts); storing the record and up to two attempts to
 * send the start come before that.
 */
const EARLY_FAILURE_MS = 1000;

/**
 * Time after a failure in which a unit avoids unreliable endpoints, in ms. After that
 * it takes any endpoint, because users accept that work stands still for at most 3 s
 * while capacity is free.
 */
const AVOID_UNRELIABLE_MS = 2500;
/**
 * Same as above before the last start, in ms, while most endpoints are reliable: as
 * long as an endpoint counts as unreliable. Otherwise urgent gangs on a full fleet take
 * free unreliable endpoints after 2.5 s and fail their last attempt there.
 */
const AVOID_UNRELIABLE_LAST_START_MS = 5000;

/**
 * Pause after the first start whose ticket was rejected, in ms; it doubles with each
 * further one. The next start succeeds only once there is a new ticket or a new
 * configuration.
 */
const TICKET_PAUSE_MS = 100;

/** Endpoints on which a unit may start now, given its earlier failures. */
export function withoutUnreliable(
  unit: Workflow.Unit,
  endpoints: readonly fleet.Endpoint[],
  nowMs: number,
): readonly fleet.Endpoint[] {
  const failedAtMs = Math.max(...unit.tasks.map((task) => task.failedAtMs));
  const sinceMs = nowMs - failedAtMs;
  if (sinceMs >= AVOID_UNRELIABLE_LAST_START_MS) return endpoints;
  const reliable = endpoints.filter(({ state }) => state.isUnreliable !== true);
  const isLast = startsLeft(unit) <= 1 &&
    reliable.length * 2 > endpoints.length;
  return sinceMs < AVOID_UNRELIABLE_MS || isLast ? reliable : endpoints;
}

function startsLeft(unit: Workflow.Unit): number {
  const failures = Math.max(...unit.tasks.map((task) => task.failures));
  return unit.workflow.spec.policy.attempts - failures;
}

/** Whether a unit whose last start did not succeed should wait before the next one. */
export function mustPause(
  unit: Workflow.Unit,
  now: { readonly nowMs: number; readonly wallMs: number },
): boolean {
  if (isTicketPause(unit, now.nowMs)) return true;
  const hasFailed = unit.tasks.some((task) => task.failures > 0);
  if (!hasFailed || unit.step.lasting) return false;
  const failedAtMs = Math.max(...unit.tasks.map((task) => task.failedAtMs));
  const sinceMs = now.nowMs - failedAtMs;
  if (sinceMs >= MAX_PAUSE_MS || !hasFailedEarly(unit, failedAtMs)) {
    return false;
  }
  return sinceMs < pauseMs(unit, now.wallMs - sinceMs);
}

/** Whether the ticket of a unit's start was rejected a short time ago. */
function isTicketPause({ tasks }: Workflow.Unit, nowMs: number): boolean {
  return tasks.some(({ ticketRejections, ticketRejectedAtMs }) => {
    if (ticketRejections === 0) return false;
    const pauseMs = TICKET_PAUSE_MS * 2 ** (ticketRejections - 1);
    return nowMs - ticketRejectedAtMs < Math.min(MAX_PAUSE_MS, pauseMs);
  });
}

/** Whether the latest failure of a unit came right after its start. */
function hasFailedEarly(unit: Workflow.Unit, failedAtMs: number): boolean {
  return unit.tasks.some((task) =>
    task.failedAtMs === failedAtMs && task.failedAfterMs < EARLY_FAILURE_MS
  );
}

/** Divides the slack at the time of the failure among the remaining starts. */
function pauseMs(unit: Workflow.Unit, failedAtWallMs: number): number {
  const slackMs = rank.slackMs(unit, failedAtWallMs);
  return Math.min(MAX_PAUSE_MS, slackMs / (Math.max(0, startsLeft(unit)) + 1));
}
