/**
 * HTTP API for callers: `POST /v1/jobs`, `GET` and `DELETE /v1/jobs/{id}`.
 * `Idempotency-Key` makes a submission repeatable; `Prefer: wait=N` waits up to N
 * seconds.
 */
import type * as Box from "@cairngate/box";
import * as Entry from "@cairngate/entry";
import * as Errors from "@cairngate/errors";
import * as HttpJson from "@cairngate/http-json";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import * as problems from "./problems.ts";

/** A running HTTP server for callers. */
export interface CallersServer {
  /** Closes each connection after its next response. */
  beginClosing(): void;
  /** Refuses new connections; resolves once the last response is sent. */
  close(): Effect.Effect<void>;
}

const JOBS_PATH = "/v1/jobs";
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_MS = 60_000;
const MAX_CONNECTIONS = 5000;

/** Starts the HTTP server for callers of a box. */
export function serveCallers(
  box: Box.Box,
  options: { address: string; bodyBytes: number },
): Effect.Effect<CallersServer, Errors.ListenError> {
  return Effect.gen(function* () {
    const state = { closing: false };
    const limits = HttpJson.deriveServerLimits(HttpJson.DEFAULT_MACHINE);
    const bodies = new HttpJson.BodyBudget(limits.bodyBytes);
    const requests = new HttpJson.RequestLimit(limits);
    const { bodyBytes } = options;
    const server = http.createServer((req, res) => {
      if (state.closing) res.setHeader("connection", "close");
      const slot = requests.begin(req, res);
      if (slot === null) return sendBusy(res);
      const end = Effect.sync(() => slot.end());
      const handled = handle(box, { req, res, bodyBytes, bodies });
      Effect.runFork(Effect.ensuring(handled, end));
    });
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    const connections = new HttpJson.ConnectionLimit(MAX_CONNECTIONS);
    connections.watch(server);
    yield* HttpJson.listen(server, options.address);
    return {
      beginClosing: () => {
        state.closing = true;
      },
      close: () =>
        Effect.callback<void>((resume) => {
          server.close(() => resume(Effect.void));
          server.closeIdleConnections();
          HttpJson.giveUpLastCallers(bodies, connections);
        }),
    };
  });
}

/** Refuses a request that was not looked at. */
function sendBusy(res: http.ServerResponse): void {
  const limit = "requests under way";
  const err = new Errors.OverloadedError({ limit, retryAfterSeconds: 1 });
  problems.sendFailure(res, err, Types.OutcomeKind.NotRun);
}

interface Exchange {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly bodyBytes: number;
  readonly bodies: HttpJson.BodyBudget;
}

function handle(box: Box.Box, exchange: Exchange): Effect.Effect<void> {
  const { req, res } = exchange;
  const { pathname } = new URL(req.url ?? "/", "http://box");
  if (pathname === JOBS_PATH && req.method === "POST") {
    return submit(box, exchange);
  }
  const jobId = decodeJobId(pathname);
  if (jobId !== null && req.method === "GET") {
    return sendStatus(box, exchange, jobId);
  }
  if (jobId !== null && req.method === "DELETE") {
    return cancel(box, exchange, jobId);
  }
  return Effect.sync(() => {
    const expected = `a route such as ${JOBS_PATH}`;
    const err = new Errors.BadRequestError({ field: "path", expected });
    problems.sendFailure(res, err, null);
  });
}

/** Null if the path does not name a job. */
function decodeJobId(pathname: string): string | null {
  if (!pathname.startsWith(`${JOBS_PATH}/`)) return null;
  try {
    return decodeURIComponent(pathname.slice(JOBS_PATH.length + 1));
  } catch {
    return null;
  }
}

function submit(box: Box.Box, exchange: Exchange): Effect.Effect<void> {
  const { req, res, bodyBytes: limitBytes, bodies } = exchange;
  const claim = bodies.claim();
  return Effect.gen(function* () {
    const waitSeconds = yield* readWaitSeconds(req);
    const body = yield* HttpJson.readJsonBody(req, { limitBytes, claim });
    const idempotencyKey = readHeader(req, "idempotency-key");
    return yield* box.entry.submit({ body, idempotencyKey, waitSeconds });
  }).pipe(
    Effect.match({
      onSuccess: (submission) => sendSubmission(res, submission),
      // Nothing has been sent to a worker when a submission fails.
      onFailure: (err) => problems.sendFailure(res, err, outcomeOfFailure(err)),
    }),
    Effect.ensuring(Effect.sync(() => claim.release())),
  );
}

/** The job may be stored if the response to its write was lost. */
function outcomeOfFailure(err: { _tag: string }): Types.OutcomeKind {
  return err._tag === "StoreUnavailableError"
    ? Types.OutcomeKind.Unknown
    : Types.OutcomeKind.NotRun;
}

function sendStatus(
  box: Box.Box,
  exchange: Exchange,
  jobId: string,
): Effect.Effect<void> {
  const { req, res } = exchange;
  return Effect.gen(function* () {
    const waitSeconds = yield* readWaitSeconds(req);
    return yield* box.entry.status(jobId, waitSeconds);
  }).pipe(
    Effect.match({
      onSuccess: (record) => sendRecord(res, 200, record),
      onFailure: (err) => problems.sendFailure(res, err, null),
    }),
  );
}

function cancel(
  box: Box.Box,
  exchange: Exchange,
  jobId: string,
): Effect.Effect<void> {
  const { res } = exchange;
  return Effect.match(box.entry.cancel(jobId), {
    onSuccess: (record) => sendRecord(res, 200, record),
    onFailure: (err) => problems.sendFailure(res, err, null),
  });
}

function sendSubmission(
  res: http.ServerResponse,
  submission: Entry.Submission,
): void {
  if (submission.kind === Entry.SubmissionKind.Accepted) {
    const { record } = submission;
    const isDone = record.state === Types.JobState.Done;
    return sendRecord(res, isDone ? 200 : 202, record);
  }
  const { outcome } = submission;
  if (outcome.kind !== Types.OutcomeKind.Done) {
    return problems.sendOutcome(res, outcome);
  }
  const { jobId, attempt, result, kind } = outcome;
  const body = { jobId, attempt, outcome: kind, result };
  HttpJson.sendJson(res, 200, { body });
}

function sendRecord(
  res: http.ServerResponse,
  status: number,
  record: Types.JobRecord,
): void {
  const { job, state, attempt, result, reason } = record;
  const jobId = job.id;
  const outcome = outcomeOfState(state);
  const body = { jobId, state, outcome, attempt, result, reason };
  const headers = { location: `${JOBS_PATH}/${encodeURIComponent(jobId)}` };
  HttpJson.sendJson(res, status, { body, headers });
}

/** Null unless the job has ended with one of the callers' outcomes. */
function outcomeOfState(state: Types.JobState): Types.OutcomeKind | null {
  switch (state) {
    case Types.JobState.Done:
      return Types.OutcomeKind.Done;
    case Types.JobState.NotRun:
      return Types.OutcomeKind.NotRun;
    case Types.JobState.Unknown:
      return Types.OutcomeKind.Unknown;
    default:
      return null;
  }
}

function readHeader(req: http.IncomingMessage, name: string): string | null {
  const value = req.headers[name];
  return typeof value === "string" ? value : null;
}

function readWaitSeconds(
  req: http.IncomingMessage,
): Effect.Effect<number | null, Errors.BadRequestError> {
  const prefer = readHeader(req, "prefer");
  if (prefer === null) return Effect.succeed(null);
  const match = /(?:^|[,;\s])wait\s*=\s*"?([^\s,;"]+)"?/.exec(prefer);
  if (match === null) return Effect.succeed(null);
  const seconds = Number(match[1]);
  if (Number.isFinite(seconds) && seconds >= 0) return Effect.succeed(seconds);
  const expected = "wait=N, where N is a number of seconds";
  return Effect.fail(new Errors.BadRequestError({ field: "Prefer", expected }));
}
