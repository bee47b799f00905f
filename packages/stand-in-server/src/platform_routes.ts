/**
 * HTTP routes of the stand-in platform's services, and control routes for tests:
 * `POST /control/faults`, `/control/leaving` and `/control/restart`, `GET /ledger`
 * (runs of all workers) and `GET /counts` (calls of the table).
 */
import * as HttpJson from "@cairngate/http-json";
import type * as Ports from "@cairngate/ports";
import type * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";
import type * as http from "node:http";

/** Stand-in services and workers that the routes serve. */
export interface PlatformServices {
  readonly table: StandIns.MemoryTable;
  readonly objects: StandIns.MemoryObjectStore;
  readonly live: StandIns.MemoryLiveList;
  readonly faults: StandIns.FaultSwitch;
  readonly workers: ReadonlyMap<string, StandIns.StandInEndpoint>;
  readonly runLog: StandIns.RunLog;
}

const MAX_BODY_BYTES = 16_000_000;
const OBJECTS_PATH = "/v1/objects/";

type Reply = Effect.Effect<unknown, { readonly _tag: string }>;

/** Creates the request handler for all routes of the platform. */
export function createHandler(
  services: PlatformServices,
): http.RequestListener {
  return (req, res) => {
    const handled = HttpJson.readJsonBody(req, {
      limitBytes: MAX_BODY_BYTES,
    }).pipe(
      Effect.flatMap((body) => route(services, req, body)),
      Effect.match({
        onSuccess: (body) => HttpJson.sendJson(res, 200, { body }),
        onFailure: (err) => sendFailure(res, err),
      }),
    );
    Effect.runFork(handled);
  };
}

function route(
  services: PlatformServices,
  req: http.IncomingMessage,
  body: unknown,
): Reply {
  const path = req.url ?? "";
  if (path.startsWith(OBJECTS_PATH)) return routeObject(services, req, body);
  if (path.startsWith("/control/")) return routeControl(services, path, body);
  switch (path) {
    case "/v1/table/read":
      return services.table.read((body as { keys: string[] }).keys);
    case "/v1/table/scan": {
      const scan = body as { prefix: string; afterRevision: number };
      return services.table.scan(scan.prefix, scan.afterRevision);
    }
    case "/v1/table/transact":
      return Effect.map(
        services.table.transact(body as Ports.Transaction),
        (revision) => ({ revision }),
      );
    case "/v1/live":
      return readLive(services, req);
    case "/ledger":
      return Effect.succeed(services.runLog.entries);
    case "/counts":
      return Effect.succeed(services.table.counts);
    default:
      return Effect.fail({ _tag: "NoSuchRoute" });
  }
}

/** Reads the live list; a list with the tag of If-None-Match is answered with 304. */
function readLive(
  services: PlatformServices,
  req: http.IncomingMessage,
): Reply {
  const tag = req.headers["if-none-match"]?.replaceAll('"', "") ?? null;
  return Effect.flatMap(
    services.live.workers(tag),
    (snapshot): Reply =>
      snapshot === null
        ? Effect.fail({ _tag: "NotModified" })
        : Effect.succeed(snapshot),
  );
}

function routeObject(
  services: PlatformServices,
  req: http.IncomingMessage,
  body: unknown,
): Reply {
  const key = decodeURIComponent((req.url ?? "").slice(OBJECTS_PATH.length));
  if (req.method === "PUT") {
    return services.objects.put(key, (body as { value: unknown }).value);
  }
  return Effect.flatMap(
    services.objects.get(key),
    (value) =>
      value === undefined
        ? Effect.fail({ _tag: "NoSuchObject" })
        : Effect.succeed({ value }),
  );
}

function routeControl(
  services: PlatformServices,
  path: string,
  body: unknown,
): Reply {
  return Effect.sync(() => {
    if (path === "/control/faults") {
      services.faults.set(body as Partial<StandIns.StoreFaults>);
    }
    const request = body as WorkerControl;
    const worker = services.workers.get(request.worker ?? "");
    if (path === "/control/restart") worker?.restart();
    if (path === "/control/leaving") setLeaving(services, request);
    return {};
  });
}

/**
 * Marks a worker as leaving in the live list. With `listOnly` the worker itself goes
 * on accepting orders, so that a test checks how boxes treat the list.
 */
function setLeaving(services: PlatformServices, body: WorkerControl): void {
  const { worker = "", leaving = false, listOnly = false } = body;
  services.live.mark(worker, leaving);
  if (!listOnly) services.workers.get(worker)?.setLeaving(leaving);
}

interface WorkerControl {
  readonly worker?: string;
  readonly leaving?: boolean;
  readonly listOnly?: boolean;
}

function sendFailure(
  res: http.ServerResponse,
  err: { readonly _tag: string },
): void {
  switch (err._tag) {
    case "ConditionFailedError":
      return HttpJson.sendJson(res, 409, { body: err });
    case "StoreUnavailableError":
      return HttpJson.sendJson(res, 503, { body: err });
    case "AnswerLostError":
      // The write has taken effect. Closing the connection loses its answer.
      res.destroy();
      return;
    case "NotModified":
      res.writeHead(304).end();
      return;
    case "NoSuchRoute":
    case "NoSuchObject":
      return HttpJson.sendJson(res, 404, { body: err });
    default:
      return HttpJson.sendJson(res, 400, { body: err });
  }
}
