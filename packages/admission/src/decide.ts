/**
 * Decides whether a job is accepted where teams compete or endpoints differ in
 * speed. A job is rejected only if it certainly can not be useful.
 */
import * as Errors from "@cairngate/errors";
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as ends from "./earliest_end.ts";
import * as forecasts from "./forecast.ts";
import * as shapes from "./job_shape.ts";

const { RejectReason } = Errors;

/**
 * Time in ms after which a job that fits no endpoint may try again: the fleet gains
 * new endpoints within this time.
 */
const FLEET_CHANGE_MS = 30_000;

/** The inputs of an admission decision. */
export interface AdmissionRequest {
  readonly job: shapes.JobShape;
  readonly knownForecast: shapes.KnownForecast;
  readonly team: shapes.TeamState;
}

/** Decides whether one job is accepted. */
export function decideAdmission(request: AdmissionRequest): shapes.Decision {
  const { job, knownForecast: { forecast, ageMs } } = request;
  if (forecast === null) return accept(shapes.UncheckedReason.Unknown);
  if (ageMs > forecasts.STALE_MS) return accept(shapes.UncheckedReason.Stale);
  if (isGuaranteed(request, forecast)) {
    return accept(shapes.UncheckedReason.Guaranteed);
  }
  const service = forecast.services.find((candidate) =>
    candidate.service === job.service
  );
  if (service === undefined) return accept(shapes.UncheckedReason.Unknown);
  const mismatch = findCapacityMismatch(job, service);
  if (mismatch !== null) return reject(mismatch, FLEET_CHANGE_MS);
  if (job.hasNoDeadline) return accept(shapes.UncheckedReason.NoDeadline);
  return decideByEndTime(request, { forecast, service });
}

interface ServiceContext {
  readonly forecast: forecasts.Forecast;
  readonly service: forecasts.ServiceForecast;
}

function accept(
  uncheckedReason: shapes.UncheckedReason | null,
): shapes.Decision {
  return { verdict: shapes.Verdict.Accepted, uncheckedReason };
}

function reject(
  reason: Errors.RejectReason,
  retryAfterMs: number,
): shapes.Decision {
  return { verdict: shapes.Verdict.Rejected, reason, retryAfterMs };
}

/**
 * Whether the job is urgent and within its team's guarantee. The team's use is a
 * lower bound.
 */
function isGuaranteed(
  { job, team }: AdmissionRequest,
  { urgentUse }: forecasts.Forecast,
): boolean {
  if (job.priority > 0) return false;
  const acceleratorsByStep = job.steps.map((step) =>
    step.count * step.accelerators
  );
  const used = urgentUse.find(([name]) => name === team.team)?.[1] ?? 0;
  return used + Math.max(0, ...acceleratorsByStep) <= team.guaranteed;
}

/** Why a step exceeds the largest capacity seen; null if each step may fit. */
function findCapacityMismatch(
  { steps }: shapes.JobShape,
  { largest, total }: forecasts.ServiceForecast,
): Errors.RejectReason | null {
  for (const step of steps) {
    const demand = amounts.reservedResources(step);
    if (!amounts.isWithin(demand, largest)) return RejectReason.EndpointSize;
    const members = step.gang ? step.count : 1;
    const gangDemand = amounts.scale(demand, members);
    if (!amounts.isWithin(gangDemand, total)) return RejectReason.FleetSize;
  }
  return null;
}

function decideByEndTime(
  request: AdmissionRequest,
  context: ServiceContext,
): shapes.Decision {
  const { job, knownForecast: { ageMs } } = request;
  const curve = curveFor(request, context.service);
  if (curve === null) return accept(shapes.UncheckedReason.Unknown);
  const { steps } = job;
  const limitMs = ageMs + job.deadlineInMs;
  const endMsFor = (runTimeOf: ends.EndQuery["runTimeOf"]) =>
    ends.earliestEnd({ steps, curve, fromMs: ageMs, runTimeOf });
  const { fastest } = context.service;
  const minRunFactor = forecasts.MIN_ESTIMATE_FACTOR / fastest;
  const endMs = endMsFor((step) => step.estimateMs * minRunFactor);
  if (endMs > limitMs) return reject(RejectReason.TooLate, endMs - limitMs);
  const maxEndMs = endMsFor((step) =>
    step.estimateMs * minRunFactor * rackPenalty(step, context)
  );
  if (maxEndMs > limitMs) return reject(RejectReason.RackSize, FLEET_CHANGE_MS);
  return accept(null);
}

/**
 * Slowdown of a gang that wants one rack but fits into none and must span several.
 */
function rackPenalty(step: Workflow.StepSpec, context: ServiceContext): number {
  if (!step.gang || !step.sameRack) return 1;
  const gangDemand = amounts.scale(amounts.reservedResources(step), step.count);
  const fitsOneRack = amounts.isWithin(gangDemand, context.service.largestRack);
  return fitsOneRack ? 1 : context.forecast.remotePenalty;
}

/** Capacity curve for the position in the queue that the job would take. */
function curveFor(
  { job, knownForecast }: AdmissionRequest,
  { room }: forecasts.ServiceForecast,
): forecasts.CapacityCurve | null {
  const priorityCapacity = room.find(({ priority }) =>
    priority === job.priority
  );
  if (priorityCapacity === undefined) return null;
  const isLastInLine =
    knownForecast.ageMs + job.dueInMs >= priorityCapacity.lastDueMs;
  return isLastInLine ? priorityCapacity.last : priorityCapacity.first;
}
