/** Entry point for the jobs of a box's callers. */
import * as Errors from "@cairngate/errors";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as admissions from "./admission.ts";
import * as parsing from "./parse_submission.ts";
import type * as ports from "./ports.ts";
import * as shortJobs from "./short_jobs.ts";
import * as storedJobs from "./stored_jobs.ts";

/** Kind of a reply to a submission. */
export enum SubmissionKind {
  /** The job has ended. */
  Ended = "ended",
  /** The job is stored and runs later. */
  Accepted = "accepted",
}

/** Reply to a submission. */
export type Submission =
  | { readonly kind: SubmissionKind.Ended; readonly outcome: Types.Outcome }
  | {
    readonly kind: SubmissionKind.Accepted;
    readonly record: Types.JobRecord;
  };

const DEFAULT_WAIT_S = 30;
const MAX_WAIT_S = 300;

/** Submits jobs, reads their status and cancels them. */
export class Entry {
  readonly #ports: ports.EntryPorts;
  readonly #admission: admissions.Admission;
  readonly #short: shortJobs.ShortJobs;
  readonly #stored: storedJobs.StoredJobs;

  constructor(entryPorts: ports.EntryPorts) {
    this.#ports = entryPorts;
    const { limits, metrics } = entryPorts;
    this.#admission = new admissions.Admission(limits.waitingCallers, metrics);
    this.#short = new shortJobs.ShortJobs(entryPorts);
    this.#stored = new storedJobs.StoredJobs(entryPorts);
  }

  /** Number of callers that currently wait on this box. */
  get waitingCallers(): number {
    return this.#admission.waiting;
  }

  /** Runs a short job and returns its outcome, or stores a long one. */
  submit(req: parsing.SubmitRequest) {
    return Effect.gen({ self: this }, function* () {
      const cfg = this.#ports.config();
      if (cfg === null) {
        return yield* new Errors.NotReadyError({ waitsFor: "configuration" });
      }
      const job = yield* parsing.parseSubmission(req, { ...this.#ports, cfg });
      this.#ports.metrics.count("cairngate_jobs_total", {
        team: job.team,
        tier: job.tier,
      });
      if (job.kind === Types.ServiceKind.Short) {
        return yield* this.#runShort(job, req.waitSeconds);
      }
      return yield* this.#store(job, req.waitSeconds);
    });
  }

  /** Returns a job's record, after waiting up to `waitSeconds` for its end. */
  status(jobId: string, waitSeconds: number | null) {
    const waitMs = clampWait(waitSeconds ?? 0) * 1000;
    const lookUp = this.#stored.status(jobId, waitMs);
    if (waitMs === 0) return lookUp;
    return this.#admission.admit(Types.Tier.Standard, lookUp);
  }

  /** Cancels a stored job. */
  cancel(jobId: string) {
    return this.#stored.cancel(jobId);
  }

  #runShort(
    job: Types.Job,
    waitSeconds: number | null,
  ): Effect.Effect<Submission, Errors.OverloadedError> {
    const { clock, metrics } = this.#ports;
    const waitMs = shortWaitMs(job, waitSeconds);
    const startMs = clock.monotonicMs();
    const run = Effect.map(this.#short.run(job, waitMs), (outcome) => {
      metrics.observeMs(
        "cairngate_short_job_seconds",
        clock.monotonicMs() - startMs,
      );
      metrics.count("cairngate_outcomes_total", { outcome: outcome.kind });
      return { kind: SubmissionKind.Ended as const, outcome };
    });
    return this.#admission.admit(job.tier, run);
  }

  #store(job: Types.Job, waitSeconds: number | null) {
    return Effect.gen({ self: this }, function* () {
      const record = yield* this.#stored.accept(job);
      if (record.job.digest !== job.digest) {
        const expected = "a key that was not used for another request";
        const field = "Idempotency-Key";
        return yield* new Errors.BadRequestError({ field, expected });
      }
      const kind = SubmissionKind.Accepted as const;
      if (waitSeconds === null || waitSeconds <= 0) return { kind, record };
      const waited = yield* Effect.result(
        this.status(record.job.id, waitSeconds),
      );
      // The job is stored, so a failed wait doesn't change that it is accepted.
      if (waited._tag === "Failure") return { kind, record };
      return { kind, record: waited.success };
    });
  }
}

function shortWaitMs(job: Types.Job, waitSeconds: number | null): number {
  const requestedMs = clampWait(waitSeconds ?? DEFAULT_WAIT_S) * 1000;
  if (job.deadlineAtMs === null) return requestedMs;
  return Math.min(requestedMs, job.deadlineAtMs - job.submittedAtMs);
}

function clampWait(seconds: number): number {
  return Math.max(0, Math.min(seconds, MAX_WAIT_S));
}
