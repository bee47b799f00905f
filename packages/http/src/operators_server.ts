/**
 * HTTP API for operators, on a separate address: `/healthz`, `/readyz`,
 * `/metrics`, `/debug/dump`, `/v1/config` (GET and POST),
 * `/v1/config/history`, `/v1/config/versions/{n}`, `/v1/status`,
 * `/v1/jobs/{id}/explain`.
 */
import type * as Box from "@cairngate/box";
import * as Errors from "@cairngate/errors";
import * as HttpJson from "@cairngate/http-json";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import process from "node:process";
import * as problems from "./problems.ts";

const MAX_FILE_BYTES = 16_000_000;
/** Memory for the files of all operators at once, in bytes. */
const ALL_FILES_BYTES = 2 * MAX_FILE_BYTES;
/** Connections of operators and their tools. */
const MAX_CONNECTIONS = 128;
/** Requests of operators and their tools under way. */
const REQUEST_LIMITS = { requests: 64, requestsAhead: 8 };
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const VERSIONS_PATH = "/v1/config/versions/";
const EXPLAIN_PATTERN = /^\/v1\/jobs\/([^/]+)\/explain$/;

type RouteResult = Effect.Effect<unknown, problems.HttpFailure>;

/** Starts the HTTP server for operators; returns a function that closes it. */
export function serveOperators(
  box: Box.Box,
  address: string,
): Effect.Effect<() => void, Errors.ListenError> {
  return Effect.gen(function* () {
    const requests = new HttpJson.RequestLimit(REQUEST_LIMITS);
    const bodies = new HttpJson.BodyBudget(ALL_FILES_BYTES);
    const server = http.createServer((req, res) => {
      const slot = requests.begin(req, res);
      if (slot === null) return HttpJson.sendText(res, 503, "");
      const claim = bodies.claim();
      const end = Effect.sync(() => {
        claim.release();
        slot.end();
      });
      Effect.runFork(Effect.ensuring(handle(box, { req, res, claim }), end));
    });
    new HttpJson.ConnectionLimit(MAX_CONNECTIONS).watch(server);
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    yield* HttpJson.listen(server, address);
    return () => {
      server.close();
      server.closeAllConnections();
    };
  });
}

interface Exchange {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly claim: HttpJson.BodyClaim;
}

function handle(box: Box.Box, exchange: Exchange): Effect.Effect<void> {
  const { req, res } = exchange;
  const { pathname } = new URL(req.url ?? "/", "http://box");
  switch (pathname) {
    case "/healthz":
      return Effect.sync(() => HttpJson.sendText(res, 200, "ok\n"));
    case "/readyz":
      return Effect.sync(() => sendReadiness(box, res));
    case "/metrics":
      return Effect.sync(() => {
        recordProcessUsage(box);
        HttpJson.sendText(res, 200, box.metrics.format());
      });
  }
  return Effect.match(route(box, exchange, pathname), {
    onSuccess: (body) => HttpJson.sendJson(res, 200, { body }),
    onFailure: (err) => problems.sendFailure(res, err, null),
  });
}

function route(
  box: Box.Box,
  exchange: Exchange,
  pathname: string,
): RouteResult {
  const match = EXPLAIN_PATTERN.exec(pathname);
  if (match !== null) return explain(box, decodeURIComponent(match[1]));
  if (pathname.startsWith(VERSIONS_PATH)) {
    return readVersion(box, pathname.slice(VERSIONS_PATH.length));
  }
  if (pathname === "/v1/config" && exchange.req.method === "POST") {
    return apply(box, exchange);
  }
  switch (pathname) {
    case "/v1/config":
      return Effect.succeed(box.configs.current);
    case "/v1/config/history":
      return box.configs.history();
    case "/v1/status":
      return readStatus(box);
    case "/debug/dump":
      return Effect.sync(() => box.dump());
    default:
      return reject("path", "a route of the operators' API");
  }
}

function sendReadiness(box: Box.Box, res: http.ServerResponse): void {
  if (box.isReady) HttpJson.sendText(res, 200, "ready\n");
  else HttpJson.sendText(res, 503, "not ready\n");
}

function recordProcessUsage(box: Box.Box): void {
  const { user, system } = process.cpuUsage();
  box.metrics.set("process_cpu_seconds_total", (user + system) / 1e6);
  box.metrics.set("process_resident_memory_bytes", process.memoryUsage().rss);
}

function apply(box: Box.Box, { req, claim }: Exchange): RouteResult {
  return Effect.gen(function* () {
    const body = yield* HttpJson.readJsonBody(req, {
      limitBytes: MAX_FILE_BYTES,
      claim,
    });
    const fields = (body ?? {}) as Partial<Box.ApplyRequest>;
    const { text, basedOn, applyId } = fields;
    if (typeof text !== "string") return yield* reject("text", "a file's text");
    if (typeof basedOn !== "number" || !Number.isInteger(basedOn)) {
      return yield* reject("basedOn", "a version number");
    }
    if (typeof applyId !== "string" || applyId === "") {
      return yield* reject("applyId", "a unique id");
    }
    return yield* box.configs.apply({ text, basedOn, applyId });
  });
}

function readVersion(box: Box.Box, text: string): RouteResult {
  return Effect.gen(function* () {
    const version = Number(text);
    const config = Number.isInteger(version) && version > 0
      ? yield* box.configs.read(version)
      : null;
    if (config === null) {
      return yield* reject("version", "a version in the history");
    }
    return config;
  });
}

function readStatus(box: Box.Box): RouteResult {
  return Effect.gen(function* () {
    const inForce = box.configs.inForce;
    if (inForce === null) {
      return yield* new Errors.NotReadyError({ waitsFor: "configuration" });
    }
    const requests = inForce.cfg.cells.map(({ name }) =>
      Effect.result(box.cellStatus(name))
    );
    const replies = yield* Effect.all(requests, { concurrency: "unbounded" });
    return {
      version: inForce.version,
      cells: replies.flatMap((r) => r._tag === "Success" ? [r.success] : []),
      unreachable: inForce.cfg.cells.flatMap(({ name }, i) =>
        replies[i]._tag === "Failure" ? [name] : []
      ),
    };
  });
}

function explain(box: Box.Box, jobId: string): RouteResult {
  return Effect.gen(function* () {
    const cell = jobId.slice(0, Math.max(0, jobId.lastIndexOf(".")));
    const explanation = yield* box.explain(cell, jobId);
    if (explanation !== null) return explanation;
    const record = yield* box.entry.status(jobId, null);
    return { jobId, state: record.state, reason: record.reason, record };
  });
}

function reject(
  field: string,
  expected: string,
): Effect.Effect<never, Errors.BadRequestError> {
  return Effect.fail(new Errors.BadRequestError({ field, expected }));
}
