/**
 * Decides whether a job is accepted, where teams compete or endpoints differ in
 * speed. Only what surely can't be of use is rejected.
 */
import * as Errors from "@cairngate/errors";
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as ends from "./earliest_end.ts";
import * as forecasts from "./forecast.ts";
import * as shapes from "./job_shape.ts";

const { RejectReason } = Errors;

/** What fits nothing may fit once the fleet has changed: new endpoints take this. */
const FLEET_CHANGES_MS = 30_000;

/** What a decision is made from. */
export interface Question {
  readonly job: shapes.JobShape;
  readonly known: shapes.Known;
  readonly team: shapes.TeamState;
}

/** Decides about one job. */
export function decideAdmission(question: Question): shapes.Decision {
  const { job, known: { forecast, ageMs } } = question;
  if (forecast === null) return accept(shapes.Doubt.Unknown);
  if (ageMs > forecasts.STALE_MS) return accept(shapes.Doubt.Stale);
  if (isGuaranteed(question, forecast)) {
    return accept(shapes.Doubt.Guaranteed);
  }
  const service = forecast.services.find((one) => one.service === job.service);
  if (service === undefined) return accept(shapes.Doubt.Unknown);
  const misfit = findMisfit(job, service);
  if (misfit !== null) return reject(misfit, FLEET_CHANGES_MS);
  if (job.isTimed) return accept(shapes.Doubt.Timed);
  return decideByEnd(question, { forecast, service });
}

interface Facts {
  readonly forecast: forecasts.Forecast;
  readonly service: forecasts.ServiceForecast;
}

function accept(doubt: shapes.Doubt | null): shapes.Decision {
  return { verdict: shapes.Verdict.Accepted, doubt };
}

function reject(
  reason: Errors.RejectReason,
  returnInMs: number,
): shapes.Decision {
  return { verdict: shapes.Verdict.Rejected, reason, returnInMs };
}

/** Urgent work that its team has paid for; what the team uses is counted low. */
function isGuaranteed(
  { job, team }: Question,
  { urgentUse }: forecasts.Forecast,
): boolean {
  if (job.priority > 0) return false;
  const needs = job.steps.map((step) => step.count * step.accelerators);
  const used = urgentUse.find(([name]) => name === team.team)?.[1] ?? 0;
  return used + Math.max(0, ...needs) <= team.guaranteed;
}

/** Why a step fits nothing that was seen; null where all may fit. */
function findMisfit(
  { steps }: shapes.JobShape,
  { largest, total }: forecasts.ServiceForecast,
): Errors.RejectReason | null {
  for (const step of steps) {
    const need = amounts.needOf(step);
    if (!amounts.isWithin(need, largest)) return RejectReason.NoEndpoint;
    const members = step.gang ? step.count : 1;
    const all = amounts.times(need, members);
    if (!amounts.isWithin(all, total)) return RejectReason.NoFleet;
  }
  return null;
}

function decideByEnd(question: Question, facts: Facts): shapes.Decision {
  const { job, known: { ageMs } } = question;
  const curve = curveFor(question, facts.service);
  if (curve === null) return accept(shapes.Doubt.Unknown);
  const { steps } = job;
  const limitMs = ageMs + job.usefulForMs;
  const endMs = (runOf: ends.EndQuery["runOf"]) =>
    ends.earliestEnd({ steps, curve, fromMs: ageMs, runOf });
  const { fastest } = facts.service;
  const shortest = forecasts.SURE_SHARE / fastest;
  const nearMs = endMs((step) => step.estimateMs * shortest);
  if (nearMs > limitMs) return reject(RejectReason.TooLate, nearMs - limitMs);
  const farMs = endMs((step) =>
    step.estimateMs * shortest * penaltyOf(step, facts)
  );
  if (farMs > limitMs) return reject(RejectReason.NoRack, FLEET_CHANGES_MS);
  return accept(null);
}

/** A gang that wants one rack and fits none surely runs slowly on several. */
function penaltyOf(step: Workflow.StepSpec, facts: Facts): number {
  if (!step.gang || !step.sameRack) return 1;
  const need = amounts.times(amounts.needOf(step), step.count);
  const fitsRack = amounts.isWithin(need, facts.service.largestRack);
  return fitsRack ? 1 : facts.forecast.remotePenalty;
}

/** Room of those that come at the place in the queue which the job would have. */
function curveFor(
  { job, known }: Question,
  { room }: forecasts.ServiceForecast,
): forecasts.RoomCurve | null {
  const ahead = room.find(({ priority }) => priority === job.priority);
  if (ahead === undefined) return null;
  const comesLast = known.ageMs + job.dueInMs >= ahead.lastDueMs;
  return comesLast ? ahead.last : ahead.first;
}
