/** Errors as RFC 9457 problem details with the outcome of the job. */
import * as HttpJson from "@cairngate/http-json";
import * as Types from "@cairngate/types";
import type * as http from "node:http";

/** An error that can be sent as problem details. */
export interface HttpFailure {
  readonly _tag: string;
  readonly message: string;
}

/** Body of a problem details response. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Outcome of the job; null if the request did not concern one. */
  readonly outcome: Types.OutcomeKind | null;
  readonly jobId?: string;
  readonly attempt?: string | null;
  readonly field?: string;
}

const TYPE_PREFIX = "urn:cairngate:problem:";
const DEFAULT_RETRY_AFTER_S = 2;

/** HTTP status by error tag; other errors are sent with status 500. */
const STATUS_BY_ERROR: Readonly<Record<string, number>> = {
  BadRequestError: 400,
  InvalidFileError: 400,
  UnknownJobError: 404,
  StalledBodyError: 408,
  VersionConflictError: 409,
  InfeasibleGuaranteeError: 422,
  TooLargeError: 413,
  OverloadedError: 503,
  NotReadyError: 503,
  NotOwnerError: 503,
  PeerUnreachableError: 503,
  StoreUnavailableError: 503,
};

const STATUS_UNAVAILABLE = 503;

/** Sends an error; `outcome` is null if the request did not concern a job. */
export function sendFailure(
  res: http.ServerResponse,
  err: HttpFailure,
  outcome: Types.OutcomeKind | null,
): void {
  const status = STATUS_BY_ERROR[err._tag] ?? 500;
  const fields = err as unknown as Record<string, unknown>;
  const field = fields["field"];
  const problem: Problem = {
    type: TYPE_PREFIX + toKebabCase(err._tag),
    title: err._tag,
    status,
    detail: err.message,
    outcome,
    ...(typeof field === "string" ? { field } : {}),
  };
  const retryAfter = Number(
    fields["retryAfterSeconds"] ?? DEFAULT_RETRY_AFTER_S,
  );
  sendProblem(res, problem, status === STATUS_UNAVAILABLE ? retryAfter : null);
}

/** Sends an outcome that is not `done`. */
export function sendOutcome(
  res: http.ServerResponse,
  outcome: Types.Outcome,
): void {
  const isUnknown = outcome.kind === Types.OutcomeKind.Unknown;
  const problem: Problem = {
    type: TYPE_PREFIX + outcome.kind,
    title: isUnknown ? "It is not known whether the job ran" : "Not run",
    status: isUnknown ? 504 : STATUS_UNAVAILABLE,
    detail: outcome.reason ?? "",
    outcome: outcome.kind,
    jobId: outcome.jobId,
    attempt: outcome.attempt,
  };
  sendProblem(res, problem, outcome.retryAfterSeconds);
}

function sendProblem(
  res: http.ServerResponse,
  problem: Problem,
  retryAfterSeconds: number | null,
): void {
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
  };
  if (retryAfterSeconds !== null) {
    headers["retry-after"] = String(retryAfterSeconds);
  }
  HttpJson.sendJson(res, problem.status, { body: problem, headers });
}

function toKebabCase(tag: string): string {
  const name = tag.replace(/Error$/, "");
  return name.replace(/([a-z])([A-Z])/g, "$1-$2").toLowerCase();
}
