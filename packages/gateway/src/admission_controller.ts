/**
 * Admission control of one box: decides by the newest forecast whether a submission
 * can finish in time under hard load, and reports rejections to operators.
 */
import * as Admission from "@cairngate/admission";
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as memoryAdmission from "./memory_admission.ts";
import * as rejections from "./rejection_log.ts";

/** Options of an AdmissionController. */
export interface AdmissionControllerOptions {
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
  /** Returns the newest forecast and its age; there is none without hard load. */
  readonly currentForecast: () => Admission.KnownForecast;
  /** Returns the accelerators that a team has paid for; null while unknown. */
  readonly guaranteeOf: (team: string) => number | null;
  /** Returns the time for which the store has not answered, in ms. */
  readonly storeSilentMs: () => number;
  readonly memory: memoryAdmission.MemoryAdmission;
}

/** State of the admission control in the state dump. */
export interface AdmissionDump {
  /** Age of the forecast in use, in ms; null without one. */
  readonly forecastAgeMs: number | null;
  readonly forecast: Admission.Forecast | null;
  /** Number of jobs to which this box has promised room under this forecast. */
  readonly promisedJobs: number;
  readonly lastRejections: readonly rejections.Rejection[];
}

/** Hard load still counts for this time after its forecast, in ms. */
const HARD_LOAD_MEMORY_MS = 60_000;
/** Shortest time after which callers may retry, in ms. */
const MIN_RETRY_AFTER_MS = 1000;
/** Longest retry delay in an outage of the store, in ms: most outages are shorter. */
const MAX_STORE_RETRY_MS = 8000;

/** Admission control of one box. */
export class AdmissionController {
  readonly #options: AdmissionControllerOptions;
  readonly #shares = new Admission.CapacityReservations();
  readonly #returns = new Admission.RetrySchedule();
  readonly #rejections: rejections.RejectionLog;
  #hardLoadAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: AdmissionControllerOptions) {
    this.#options = options;
    this.#rejections = new rejections.RejectionLog(options);
  }

  /** Returns why a workflow is rejected; null where it is accepted. */
  checkAdmission(spec: Workflow.WorkflowSpec): Errors.RejectedError | null {
    const known = this.#currentForecast();
    // Without the store it can't be checked whether the workflow is stored already.
    if (this.#options.storeSilentMs() > 0) return null;
    const noMemory = this.#checkMemory(spec);
    if (noMemory !== null) return noMemory;
    if (known.forecast === null) return null;
    const guaranteed = this.#options.guaranteeOf(spec.tenant);
    if (guaranteed === null) return null;
    const job = Admission.toJobShape(spec);
    const team = { team: spec.tenant, guaranteed };
    const decision = Admission.decideAdmission({
      job,
      knownForecast: known,
      team,
    });
    if (decision.verdict === Admission.Verdict.Rejected) {
      return this.#reject({ spec, job, forecast: known.forecast }, decision);
    }
    if (decision.uncheckedReason === null) return this.#checkTurn(spec.id);
    return null;
  }

  /** Reserves room for a workflow that is about to be stored. */
  noteAccepted(spec: Workflow.WorkflowSpec): void {
    this.#options.memory.noteAccepted(spec);
    const known = this.#currentForecast();
    if (known.forecast === null) return;
    this.#returns.forget(spec.id);
    const promised = this.#shares.reserve(Admission.toJobShape(spec), known);
    const labels = { promised: String(promised) };
    this.#options.metrics.count("cairngate_admitted_total", labels);
  }

  /** Logs and counts a rejection that is about to be returned. */
  noteRejected(
    spec: Workflow.WorkflowSpec,
    rejected: Errors.RejectedError,
  ): void {
    const { forecast, ageMs } = this.#currentForecast();
    this.#rejections.add({ spec, rejected, forecast, ageMs });
  }

  /**
   * Returns the time after which a caller may repeat a request that failed because of
   * the store, in ms. It is the shortest one unless there was hard load lately.
   */
  retryAfterStoreMs(): number {
    const { clock, random, storeSilentMs } = this.#options;
    this.#currentForecast();
    const sinceHardLoadMs = clock.monotonicMs() - this.#hardLoadAtMs;
    if (sinceHardLoadMs > HARD_LOAD_MEMORY_MS) return MIN_RETRY_AFTER_MS;
    // An outage is expected to last as long again as it has lasted so far.
    const expectedOutageMs = Math.min(MAX_STORE_RETRY_MS, storeSilentMs());
    const jitter = 0.5 + random.next();
    const retryMs = Math.min(MAX_STORE_RETRY_MS, expectedOutageMs * jitter);
    return Math.max(MIN_RETRY_AFTER_MS, retryMs);
  }

  /** Returns the state for the state dump. */
  dump(): AdmissionDump {
    const { forecast, ageMs } = this.#currentForecast();
    return {
      forecastAgeMs: forecast === null || !Number.isFinite(ageMs)
        ? null
        : Math.round(ageMs),
      forecast,
      promisedJobs: this.#shares.reservedJobs,
      lastRejections: this.#rejections.last,
    };
  }

  #currentForecast(): Admission.KnownForecast {
    const { clock, metrics, currentForecast } = this.#options;
    const current = currentForecast();
    if (current.forecast === null) return current;
    const computedAtMs = clock.monotonicMs() - current.ageMs;
    this.#hardLoadAtMs = Math.max(this.#hardLoadAtMs, computedAtMs);
    const ageSeconds = Math.min(current.ageMs, HARD_LOAD_MEMORY_MS) / 1000;
    metrics.set("cairngate_forecast_age_seconds", ageSeconds);
    return current;
  }

  #reject(
    submission: {
      readonly spec: Workflow.WorkflowSpec;
      readonly job: Admission.JobShape;
      readonly forecast: Admission.Forecast;
    },
    { reason, retryAfterMs: returnInMs }: Extract<
      Admission.Decision,
      { verdict: Admission.Verdict.Rejected }
    >,
  ): Errors.RejectedError {
    const { spec: { id }, job, forecast } = submission;
    const nowMs = this.#options.clock.monotonicMs();
    // Work that fits no endpoint or rack needs a different fleet. It gets no turn,
    // because it delays no other work.
    const retryInMs = reason === Errors.RejectReason.TooLate
      ? this.#returns.assignRetry({ id, job }, returnInMs, { nowMs, forecast })
      : returnInMs;
    return rejectedError(id, reason, retryInMs);
  }

  /** Spreads returns, so that callers do not all come back at the same moment. */
  #checkMemory(spec: Workflow.WorkflowSpec): Errors.RejectedError | null {
    const { memory, random } = this.#options;
    const waitMs = memory.findWaitMs(spec);
    if (waitMs === null) return null;
    const jitter = 0.5 + random.next();
    const { NoMemory } = Errors.RejectReason;
    return rejectedError(spec.id, NoMemory, waitMs * jitter);
  }

  #checkTurn(id: string): Errors.RejectedError | null {
    const waitMs = this.#returns.remainingWaitMs(
      id,
      this.#options.clock.monotonicMs(),
    );
    if (waitMs <= 0) return null;
    return rejectedError(id, Errors.RejectReason.TooEarly, waitMs);
  }
}

function rejectedError(
  jobId: string,
  reason: Errors.RejectReason,
  retryInMs: number,
): Errors.RejectedError {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryInMs));
  return new Errors.RejectedError({ jobId, reason, retryAfterMs });
}
