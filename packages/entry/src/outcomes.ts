/** Constructors of the three outcomes that a caller can receive. */
import * as Types from "@cairngate/types";

/** The job ran and returned a complete result. */
export function done(
  jobId: string,
  attempt: string,
  result: unknown,
): Types.Outcome {
  const kind = Types.OutcomeKind.Done;
  const reason = null;
  return { kind, jobId, attempt, result, reason, retryAfterSeconds: null };
}

/** The job did not run and will not run. */
export function notRun(
  jobId: string,
  reason: string,
  retryAfterSeconds: number | null,
): Types.Outcome {
  const kind = Types.OutcomeKind.NotRun;
  const attempt = null;
  return { kind, jobId, attempt, result: null, reason, retryAfterSeconds };
}

/** The job may or may not have run. */
export function unknown(
  jobId: string,
  attempt: string | null,
  reason: string,
): Types.Outcome {
  const kind = Types.OutcomeKind.Unknown;
  const result = null;
  return { kind, jobId, attempt, result, reason, retryAfterSeconds: null };
}
