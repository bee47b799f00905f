/** Tells operators which submissions were rejected, and why. */
import type * as Admission from "@cairngate/admission";
import type * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";

/** One submission that was rejected. */
export interface Rejection {
  readonly id: string;
  readonly team: string;
  readonly queue: string;
  readonly reason: Errors.RejectReason;
  readonly retryAfterMs: number;
  /** Wall-clock time, in ms since 1970. */
  readonly atMs: number;
}

/** What is known of one when it is told. */
export interface RejectionDetails {
  readonly spec: Workflow.WorkflowSpec;
  readonly rejected: Errors.RejectedError;
  readonly forecast: Admission.Forecast | null;
  readonly ageMs: number;
}

/** What the log works with. */
export interface RejectionLogOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** Lines in one stretch of time; more are only counted. */
const MAX_LINES_PER_INTERVAL = 5;
const LOG_INTERVAL_MS = 1000;
/** Rejections that a dump shows. */
const MAX_KEPT = 10;

/** Rejections of one box. */
export class RejectionLog {
  readonly #options: RejectionLogOptions;
  #last: readonly Rejection[] = [];
  #intervalEndMs = Number.NEGATIVE_INFINITY;
  #lines = 0;
  #suppressed = 0;

  constructor(options: RejectionLogOptions) {
    this.#options = options;
  }

  /** The newest ones, the last one first. */
  get last(): readonly Rejection[] {
    return this.#last;
  }

  /** Tells of one. */
  add(details: RejectionDetails): void {
    const { clock, metrics, log } = this.#options;
    const { spec: { id, tenant: team, policy }, rejected } = details;
    const { reason, retryAfterMs } = rejected;
    metrics.count("cairngate_rejected_total", { reason });
    const { queue } = policy;
    const atMs = clock.wallMs();
    const rejection = { id, team, queue, reason, retryAfterMs, atMs };
    this.#last = [rejection, ...this.#last].slice(0, MAX_KEPT);
    if (this.#mayLog()) log.info(this.#messageOf(details));
  }

  #mayLog(): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs >= this.#intervalEndMs) {
      this.#intervalEndMs = nowMs + LOG_INTERVAL_MS;
      this.#lines = 0;
    }
    if (this.#lines < MAX_LINES_PER_INTERVAL) {
      this.#lines++;
      return true;
    }
    this.#suppressed++;
    return false;
  }

  #messageOf({ spec, rejected, forecast, ageMs }: RejectionDetails): string {
    const { id, tenant, policy: { queue } } = spec;
    const { reason, retryAfterMs } = rejected;
    const suppressed = this.#suppressed === 0
      ? ""
      : ` ${this.#suppressed} more were rejected without a line.`;
    this.#suppressed = 0;
    return `Workflow ${id} of team ${tenant} in ${queue} is rejected: ` +
      `${reason}; it may come back in ${retryAfterMs} ms. ` +
      `It wants ${describeDemand(spec)}; room: ${
        describeRoom(spec, forecast)
      }, ` +
      `forecast ${Math.round(ageMs)} ms ago.${suppressed}`;
  }
}

/** Steps as tasks times accelerators. */
function describeDemand({ steps }: Workflow.WorkflowSpec): string {
  const demands = steps.map(({ count, accelerators, gang }) =>
    `${count} x ${accelerators}${gang ? " together" : ""}`
  );
  const [first, ...others] = demands;
  return others.length === 0
    ? `${first} accelerators`
    : `${first} accelerators and ${others.length} more steps`;
}

/** Accelerators that get free for work of this priority, span by span. */
function describeRoom(
  { policy }: Workflow.WorkflowSpec,
  forecast: Admission.Forecast | null,
): string {
  const service = forecast?.services.find((one) =>
    one.service === policy.service
  );
  const room = service?.room.find((one) => one.priority === policy.priority);
  if (room === undefined) return "not known";
  return room.last.map(({ accelerators }) => accelerators).join(", ");
}
