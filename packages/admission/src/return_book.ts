/**
 * When callers who were rejected come back: one after another, in the order in which
 * they were rejected, as the room of this box's share gets free.
 */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import type * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";

/** Rejected callers that are remembered; of more the first ones are forgotten. */
const MOST_TOLD = 1000;
/** Nobody is sent away for longer, in ms: by then the forecast says nothing. */
const LONGEST_MS = 30_000;

/** The order of return at one box. */
export class ReturnBook {
  /** Times that jobs were told, by id. */
  readonly #told = new Map<string, number>();
  /** Time of the last return, by service and priority. */
  readonly #lastAtMs = new Map<string, number>();

  /**
   * Time after which a rejected job comes back, in ms. One that came before its time
   * keeps the time that it was told.
   * @param returnInMs when it could be of use at the earliest
   */
  note(
    asked: { readonly id: string; readonly job: shapes.JobShape },
    returnInMs: number,
    at: { readonly nowMs: number; readonly forecast: forecasts.Forecast },
  ): number {
    const { id, job } = asked;
    const { nowMs } = at;
    const known = this.#told.get(id);
    const earliestMs = nowMs + Math.min(LONGEST_MS, returnInMs);
    const queue = queueOf(job);
    const lastMs = this.#lastAtMs.get(queue) ?? Number.NEGATIVE_INFINITY;
    const turnMs = known ?? lastMs + spacingOf(job, at.forecast);
    // Who is kept back for longer than its work may take gains nothing by order.
    const latestMs = Math.min(nowMs + LONGEST_MS, earliestMs + job.dueInMs);
    const atMs = Math.min(latestMs, Math.max(earliestMs, turnMs));
    this.#remember(id, atMs);
    this.#lastAtMs.set(queue, Math.max(lastMs, atMs));
    return atMs - nowMs;
  }

  /**
   * Time that a job which could be accepted now still has to wait, in ms: who comes
   * before the time it was told would else overtake all who do as told.
   */
  waitOf(id: string, nowMs: number): number {
    return Math.max(0, (this.#told.get(id) ?? nowMs) - nowMs);
  }

  /** A job was accepted: it is not to come any more. */
  forget(id: string): void {
    this.#told.delete(id);
  }

  #remember(id: string, atMs: number): void {
    this.#told.delete(id);
    this.#told.set(id, atMs);
    if (this.#told.size <= MOST_TOLD) return;
    const [oldest] = this.#told.keys();
    this.#told.delete(oldest);
  }
}

function queueOf({ service, priority }: shapes.JobShape): string {
  return `${priority} ${service}`;
}

/** Time in which this box's share of all endpoints does the work of a job, in ms. */
function spacingOf(
  job: shapes.JobShape,
  { boxes, services }: forecasts.Forecast,
): number {
  const service = services.find((one) => one.service === job.service);
  if (service === undefined) return 0;
  const work = job.steps.map(workOf).reduce(amounts.add, amounts.NOTHING);
  const doneEachMs = amounts.times(service.total, 1 / boxes);
  const perMs = amounts.ratio(work, doneEachMs);
  return perMs > 0 ? 1 / perMs : LONGEST_MS;
}

function workOf(step: Workflow.StepSpec): Workflow.Resources {
  return amounts.times(amounts.needOf(step), step.count * step.estimateMs);
}
