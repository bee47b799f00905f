/** Logs and counts rejected submissions for operators. */
import type * as Admission from "@cairngate/admission";
import type * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";

/** A rejected submission in the state dump. */
export interface Rejection {
  readonly id: string;
  readonly team: string;
  readonly queue: string;
  readonly reason: Errors.RejectReason;
  readonly retryAfterMs: number;
  /** Wall-clock time, in ms since 1970. */
  readonly atMs: number;
}

/** What the log line of a rejection is made of. */
export interface RejectionDetails {
  readonly spec: Workflow.WorkflowSpec;
  readonly rejected: Errors.RejectedError;
  readonly forecast: Admission.Forecast | null;
  readonly ageMs: number;
}

/** Options of a RejectionLog. */
export interface RejectionLogOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** Log lines in one interval; further rejections are only counted. */
const MAX_LINES_PER_INTERVAL = 5;
const LOG_INTERVAL_MS = 1000;
/** Number of rejections in the state dump. */
const MAX_KEPT = 10;

/** Records the rejections of one box. */
export class RejectionLog {
  readonly #options: RejectionLogOptions;
  #last: readonly Rejection[] = [];
  #intervalEndMs = Number.NEGATIVE_INFINITY;
  #lines = 0;
  #suppressed = 0;

  constructor(options: RejectionLogOptions) {
    this.#options = options;
  }

  /** The last rejections, newest first. */
  get last(): readonly Rejection[] {
    return this.#last;
  }

  /** Counts a rejection, keeps it for the dump and logs it within the limit. */
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
      : ` ${this.#suppressed} more rejections were not logged.`;
    this.#suppressed = 0;
    return `Workflow ${id} of team ${tenant} in ${queue} is rejected: ` +
      `${reason}; it may be submitted again in ${retryAfterMs} ms. ` +
      `It requests ${describeDemand(spec)}; ` +
      `${describeForecast(spec, forecast, ageMs)}.${suppressed}`;
  }
}

/** Describes the first step as tasks times accelerators, and counts the others. */
function describeDemand({ steps }: Workflow.WorkflowSpec): string {
  const demands = steps.map(({ count, accelerators, gang }) =>
    `${count} x ${accelerators}${gang ? " (gang)" : ""}`
  );
  const [first, ...others] = demands;
  return others.length === 0
    ? `${first} accelerators`
    : `${first} accelerators and ${others.length} more steps`;
}

function describeForecast(
  spec: Workflow.WorkflowSpec,
  forecast: Admission.Forecast | null,
  ageMs: number,
): string {
  if (!Number.isFinite(ageMs)) return "there is no forecast";
  return `expected free: ${describeRoom(spec, forecast)}, ` +
    `forecast ${Math.round(ageMs)} ms old`;
}

/** Lists the accelerators expected to be free for this priority, by time span. */
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
