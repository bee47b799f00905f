/** What one box has promised of the room that all boxes see in a forecast. */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";

/** Promises of one box; a new forecast has taken them in. */
export class ShareBook {
  /** Number of the forecast. */
  #number: number | null = null;
  readonly #promised = new Map<string, Workflow.Resources>();
  #jobs = 0;

  /** Jobs that were promised room since the forecast came. */
  get jobs(): number {
    return this.#jobs;
  }

  /**
   * Promises the room that a job needs at first, out of this box's share. Returns
   * whether the share has it; without it the job may still find room.
   */
  promise(job: shapes.JobShape, known: shapes.Known): boolean {
    const { forecast, ageMs } = known;
    if (forecast === null || ageMs > forecasts.STALE_MS) return false;
    this.#renew(forecast);
    const share = shareOf(forecast, job, ageMs);
    if (share === null) return false;
    const promised = this.#promised.get(job.service) ?? amounts.NOTHING;
    const wanted = amounts.add(promised, firstNeed(job));
    if (!amounts.isWithin(wanted, share)) return false;
    this.#promised.set(job.service, wanted);
    this.#jobs++;
    return true;
  }

  #renew(forecast: forecasts.Forecast): void {
    if (forecast.number === this.#number) return;
    this.#number = forecast.number;
    this.#promised.clear();
    this.#jobs = 0;
  }
}

/** A box's part of the room that is free now; null where that is not known. */
function shareOf(
  forecast: forecasts.Forecast,
  { service, priority }: shapes.JobShape,
  ageMs: number,
): Workflow.Resources | null {
  const room = forecast.services.find((one) => one.service === service)?.room;
  const last = room?.find((one) => one.priority === priority)?.last;
  if (last === undefined) return null;
  // Room of earlier spans may be taken by now: the least one counts.
  const past = forecasts.POINTS_MS.filter((atMs) => atMs <= ageMs).length;
  const least = last.slice(0, past).reduce(amounts.smaller, last[0]);
  return amounts.times(least, 1 / forecast.boxes);
}

/** What all tasks without a step before them need together. */
function firstNeed({ steps }: shapes.JobShape): Workflow.Resources {
  return steps
    .filter(({ after }) => after.length === 0)
    .map((step) => amounts.times(amounts.needOf(step), step.count))
    .reduce(amounts.add, amounts.NOTHING);
}
