/** HTTP routes of a stand-in worker. */
import type * as Errors from "@cairngate/errors";
import * as HttpJson from "@cairngate/http-json";
import type * as StandIns from "@cairngate/stand-ins";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as http from "node:http";

const MAX_BODY_BYTES = 4_000_000;
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_REFUSED = 409;

type Reply = Effect.Effect<unknown, Errors.WorkerRefusedError>;

/** Creates the request handler for the orders of one worker. */
export function createHandler(
  worker: StandIns.StandInEndpoint,
): http.RequestListener {
  return (req, res) => {
    const handled = HttpJson.readJsonBody(req, {
      limitBytes: MAX_BODY_BYTES,
    }).pipe(
      Effect.flatMap((body) => handleOrder(worker, req.url ?? "", body)),
      Effect.match({
        onSuccess: (body) => HttpJson.sendJson(res, STATUS_OK, { body }),
        onFailure: (err) => sendFailure(res, err),
      }),
    );
    Effect.runFork(handled);
  };
}

function handleOrder(
  worker: StandIns.StandInEndpoint,
  path: string,
  body: unknown,
): Effect.Effect<unknown, Errors.WorkerRefusedError | NoSuchRoute> {
  const handled = route(worker, path, body);
  return handled ?? Effect.fail(new NoSuchRoute());
}

class NoSuchRoute {
  readonly _tag = "NoSuchRoute";
}

function route(
  worker: StandIns.StandInEndpoint,
  path: string,
  body: unknown,
): Reply | null {
  switch (path) {
    case "/v1/seal":
      return worker.seal(body as Types.Fence);
    case "/v1/hold":
      return worker.hold(body as Types.HoldOrder);
    case "/v1/start":
      return worker.start(body as Types.TaskOrder);
    case "/v1/run":
      return worker.run(body as Types.HoldOrder);
    case "/v1/stop":
      return worker.stop(body as Types.StopOrder);
    case "/v1/report":
      return worker.report(body as Types.ReportRequest);
    default:
      return null;
  }
}

function sendFailure(
  res: http.ServerResponse,
  err: { readonly _tag: string },
): void {
  switch (err._tag) {
    case "WorkerRefusedError":
      return HttpJson.sendJson(res, STATUS_REFUSED, { body: err });
    case "NoSuchRoute":
      return HttpJson.sendJson(res, STATUS_NOT_FOUND, { body: null });
    default:
      return HttpJson.sendJson(res, STATUS_BAD_REQUEST, { body: null });
  }
}
