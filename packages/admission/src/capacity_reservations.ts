/** Capacity of the shared forecast that one box has reserved for accepted jobs. */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";

/**
 * Reservations of one box. A new forecast already includes the earlier ones, so
 * they are reset with it.
 */
export class CapacityReservations {
  /** Number of the current forecast. */
  #forecastNumber: number | null = null;
  readonly #reserved = new Map<string, Workflow.Resources>();
  #reservedJobs = 0;

  /** Jobs with a reservation in the current forecast. */
  get reservedJobs(): number {
    return this.#reservedJobs;
  }

  /**
   * Reserves the initial demand of a job in this box's share. Returns whether the
   * share is large enough; a job without a reservation may still find capacity.
   */
  reserve(job: shapes.JobShape, knownForecast: shapes.KnownForecast): boolean {
    const { forecast, ageMs } = knownForecast;
    if (forecast === null || ageMs > forecasts.STALE_MS) return false;
    this.#resetForNewForecast(forecast);
    const share = boxShare(forecast, job, ageMs);
    if (share === null) return false;
    const reserved = this.#reserved.get(job.service) ?? amounts.ZERO;
    const required = amounts.add(reserved, initialDemand(job));
    if (!amounts.isWithin(required, share)) return false;
    this.#reserved.set(job.service, required);
    this.#reservedJobs++;
    return true;
  }

  #resetForNewForecast(forecast: forecasts.Forecast): void {
    if (forecast.number === this.#forecastNumber) return;
    this.#forecastNumber = forecast.number;
    this.#reserved.clear();
    this.#reservedJobs = 0;
  }
}

/** This box's share of the capacity that is free now; null if that is not known. */
function boxShare(
  forecast: forecasts.Forecast,
  { service, priority }: shapes.JobShape,
  ageMs: number,
): Workflow.Resources | null {
  const capacities = forecast.services.find((candidate) =>
    candidate.service === service
  )
    ?.room;
  const last = capacities?.find((entry) => entry.priority === priority)?.last;
  if (last === undefined) return null;
  // Capacity of earlier spans may be taken by now, so the minimum counts.
  const startedSpans =
    forecasts.SPAN_STARTS_MS.filter((atMs) => atMs <= ageMs).length;
  const minimum = last.slice(0, startedSpans).reduce(amounts.minOf, last[0]);
  return amounts.scale(minimum, 1 / forecast.boxes);
}

/** Total demand of all tasks of steps without predecessors. */
function initialDemand({ steps }: shapes.JobShape): Workflow.Resources {
  return steps
    .filter(({ after }) => after.length === 0)
    .map((step) => amounts.scale(amounts.reservedResources(step), step.count))
    .reduce(amounts.add, amounts.ZERO);
}
