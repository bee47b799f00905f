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
export interface RejectionFacts {
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
const MOST_LINES = 5;
const STRETCH_MS = 1000;
/** Rejections that a dump shows. */
const MOST_KEPT = 10;

/** Rejections of one box. */
export class RejectionLog {
  readonly #options: RejectionLogOptions;
  #last: readonly Rejection[] = [];
  #stretchEndMs = Number.NEGATIVE_INFINITY;
  #lines = 0;
  #leftOut = 0;

  constructor(options: RejectionLogOptions) {
    this.#options = options;
  }

  /** The newest ones, the last one first. */
  get last(): readonly Rejection[] {
    return this.#last;
  }

  /** Tells of one. */
  note(facts: RejectionFacts): void {
    const { clock, metrics, log } = this.#options;
    const { spec: { id, tenant: team, policy }, rejected } = facts;
    const { reason, retryAfterMs } = rejected;
    metrics.count("cairngate_rejected_total", { reason });
    const { queue } = policy;
    const atMs = clock.wallMs();
    const told = { id, team, queue, reason, retryAfterMs, atMs };
    this.#last = [told, ...this.#last].slice(0, MOST_KEPT);
    if (this.#mayTell()) log.info(this.#sentenceOf(facts));
  }

  #mayTell(): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs >= this.#stretchEndMs) {
      this.#stretchEndMs = nowMs + STRETCH_MS;
      this.#lines = 0;
    }
    if (this.#lines < MOST_LINES) {
      this.#lines++;
      return true;
    }
    this.#leftOut++;
    return false;
  }

  #sentenceOf({ spec, rejected, forecast, ageMs }: RejectionFacts): string {
    const { id, tenant, policy: { queue } } = spec;
    const { reason, retryAfterMs } = rejected;
    const leftOut = this.#leftOut === 0
      ? ""
      : ` ${this.#leftOut} more were rejected without a line.`;
    this.#leftOut = 0;
    return `Workflow ${id} of team ${tenant} in ${queue} is rejected: ` +
      `${reason}; it may come back in ${retryAfterMs} ms. ` +
      `It wants ${wantedBy(spec)}; room: ${roomFor(spec, forecast)}, ` +
      `forecast ${Math.round(ageMs)} ms ago.${leftOut}`;
  }
}

/** Steps as tasks times accelerators. */
function wantedBy({ steps }: Workflow.WorkflowSpec): string {
  const wanted = steps.map(({ count, accelerators, gang }) =>
    `${count} x ${accelerators}${gang ? " together" : ""}`
  );
  const [first, ...others] = wanted;
  return others.length === 0
    ? `${first} accelerators`
    : `${first} accelerators and ${others.length} more steps`;
}

/** Accelerators that get free for work of this priority, span by span. */
function roomFor(
  { policy }: Workflow.WorkflowSpec,
  forecast: Admission.Forecast | null,
): string {
  const service = forecast?.services.find((one) =>
    one.service === policy.service
  );
  const ahead = service?.room.find((one) => one.priority === policy.priority);
  if (ahead === undefined) return "not known";
  return ahead.last.map(({ accelerators }) => accelerators).join(", ");
}
