/**
 * Schedules when rejected callers retry: one after another, in the order of their
 * rejections, as this box's share of the capacity becomes free.
 */
import type * as Workflow from "@cairngate/workflow";
import * as amounts from "./amounts.ts";
import type * as forecasts from "./forecast.ts";
import type * as shapes from "./job_shape.ts";

/** Number of rejected jobs that are remembered; the oldest are dropped first. */
const MAX_SCHEDULED_RETRIES = 1000;
/** Longest retry delay in ms: beyond it the forecast predicts nothing useful. */
const MAX_RETRY_DELAY_MS = 30_000;

/** The retry schedule of one box. */
export class RetrySchedule {
  /** Assigned retry times by job id. */
  readonly #retryAtMs = new Map<string, number>();
  /** The latest assigned retry time, by service and priority. */
  readonly #lastRetryAtMs = new Map<string, number>();

  /**
   * Assigns the time in ms after which a rejected job may retry. A job that retries
   * early keeps its assigned time.
   * @param earliestInMs earliest time at which the job could be useful, in ms from
   * now
   */
  assignRetry(
    rejected: { readonly id: string; readonly job: shapes.JobShape },
    earliestInMs: number,
    context: { readonly nowMs: number; readonly forecast: forecasts.Forecast },
  ): number {
    const { id, job } = rejected;
    const { nowMs } = context;
    const assignedMs = this.#retryAtMs.get(id);
    const earliestMs = nowMs + Math.min(MAX_RETRY_DELAY_MS, earliestInMs);
    const queue = queueKey(job);
    const lastMs = this.#lastRetryAtMs.get(queue) ?? Number.NEGATIVE_INFINITY;
    const scheduledMs = assignedMs ??
      lastMs + retrySpacingMs(job, context.forecast);
    // A job that is delayed for longer than its objective gains nothing from the
    // order.
    const latestMs = Math.min(
      nowMs + MAX_RETRY_DELAY_MS,
      earliestMs + job.dueInMs,
    );
    const retryAtMs = Math.min(latestMs, Math.max(earliestMs, scheduledMs));
    this.#remember(id, retryAtMs);
    this.#lastRetryAtMs.set(queue, Math.max(lastMs, retryAtMs));
    return retryAtMs - nowMs;
  }

  /**
   * Time in ms that an acceptable job still has to wait. Without it a caller that
   * retries before its assigned time would overtake those that wait as instructed.
   */
  remainingWaitMs(id: string, nowMs: number): number {
    return Math.max(0, (this.#retryAtMs.get(id) ?? nowMs) - nowMs);
  }

  /** Removes a job that was accepted. */
  forget(id: string): void {
    this.#retryAtMs.delete(id);
  }

  #remember(id: string, atMs: number): void {
    this.#retryAtMs.delete(id);
    this.#retryAtMs.set(id, atMs);
    if (this.#retryAtMs.size <= MAX_SCHEDULED_RETRIES) return;
    const [oldest] = this.#retryAtMs.keys();
    this.#retryAtMs.delete(oldest);
  }
}

function queueKey({ service, priority }: shapes.JobShape): string {
  return `${priority} ${service}`;
}

/** Time in ms in which this box's share of all endpoints does the work of a job. */
function retrySpacingMs(
  job: shapes.JobShape,
  { boxes, services }: forecasts.Forecast,
): number {
  const service = services.find((candidate) =>
    candidate.service === job.service
  );
  if (service === undefined) return 0;
  const work = job.steps.map(resourceTimeOf).reduce(amounts.add, amounts.ZERO);
  const boxCapacity = amounts.scale(service.total, 1 / boxes);
  const jobsPerMs = amounts.ratio(work, boxCapacity);
  return jobsPerMs > 0 ? 1 / jobsPerMs : MAX_RETRY_DELAY_MS;
}

function resourceTimeOf(step: Workflow.StepSpec): Workflow.Resources {
  return amounts.scale(
    amounts.reservedResources(step),
    step.count * step.estimateMs,
  );
}
