/**
 * Client of the workers over HTTP. Each order is `POST /v1/<order>` with a JSON
 * body. Answers: 200 with the reply; 409 with `reason` and `epoch` for a refusal.
 */
import * as Errors from "@cairngate/errors";
import * as HttpJson from "@cairngate/http-json";
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";

const STATUS_REFUSED = 409;
const STATUS_OK = 200;
const REFUSAL_REASONS: ReadonlySet<string> = new Set(
  Object.values(Errors.RefusalReason),
);
/**
 * Connections from a box to a worker that are reserved for orders and reports, so
 * that they don't queue behind runs.
 */
const CONTROL_CONNECTIONS = 2;

/** An HTTP request that carries an order. */
interface WorkerRequest {
  readonly path: string;
  readonly body: unknown;
  /** Whether a reply is expected; 200 without an object then counts as lost. */
  readonly isAsking: boolean;
}

/** Sends orders to workers over HTTP. */
export class HttpWorkers extends Ports.Workers {
  readonly #runs: HttpJson.HttpCaller;
  readonly #control: HttpJson.HttpCaller;

  /** @param connections maximum number of connections from this box to one worker */
  constructor(
    connections: number,
    listener: HttpJson.TrafficListener | null = null,
  ) {
    super();
    const runConnections = Math.max(1, connections - CONTROL_CONNECTIONS);
    const onTraffic = listener;
    this.#runs = new HttpJson.HttpCaller({
      connections: runConnections,
      onTraffic,
    });
    this.#control = new HttpJson.HttpCaller({
      connections: CONTROL_CONNECTIONS,
      onTraffic,
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#runs.close();
    this.#control.close();
  }

  override fence(endpoint: string, fence: Types.Fence) {
    return this.#request<Types.Inventory>(endpoint, "seal", fence);
  }

  override hold(endpoint: string, order: Types.HoldOrder) {
    return this.#send(endpoint, "hold", order);
  }

  override start(endpoint: string, order: Types.TaskOrder) {
    return this.#send(endpoint, "start", order);
  }

  override run(endpoint: string, order: Types.HoldOrder) {
    return this.#call<Types.TaskAnswer>(this.#runs, endpoint, {
      path: "/v1/run",
      body: order,
      isAsking: true,
    });
  }

  override stop(endpoint: string, order: Types.StopOrder) {
    return this.#request<Types.StopReply>(endpoint, "stop", order);
  }

  override report(endpoint: string, request: Types.ReportRequest) {
    return this.#request<Types.WorkerReport>(endpoint, "report", request);
  }

  #request<A>(
    endpoint: string,
    name: string,
    body: unknown,
  ): Effect.Effect<A, Ports.WorkerError> {
    const req = { path: `/v1/${name}`, body, isAsking: true };
    return this.#call<A>(this.#control, endpoint, req);
  }

  #send(
    endpoint: string,
    name: string,
    body: unknown,
  ): Effect.Effect<void, Ports.WorkerError> {
    const req = { path: `/v1/${name}`, body, isAsking: false };
    return this.#call<void>(this.#control, endpoint, req);
  }

  #call<A>(
    caller: HttpJson.HttpCaller,
    endpoint: string,
    req: WorkerRequest,
  ): Effect.Effect<A, Ports.WorkerError> {
    const { path, body } = req;
    const call = caller.call(endpoint, { method: "POST", path, body });
    return Effect.matchEffect(call, {
      onFailure: (err) =>
        Effect.fail<Ports.WorkerError>(
          new Errors.WorkerLostError({
            worker: endpoint,
            cause: err.cause,
            neverSent: err.neverSent,
          }),
        ),
      onSuccess: (reply) => readReply<A>(endpoint, req, reply),
    });
  }
}

function readReply<A>(
  endpoint: string,
  req: WorkerRequest,
  { status, body }: HttpJson.HttpResponse,
): Effect.Effect<A, Ports.WorkerError> {
  if (status === STATUS_OK) {
    return req.isAsking && !HttpJson.isObject(body)
      ? failAsLost(endpoint, "status 200 without an object")
      : Effect.succeed(body as A);
  }
  return status === STATUS_REFUSED
    ? readRefusal(endpoint, body)
    : failAsLost(endpoint, `status ${status}`);
}

/**
 * Reads the body of a refusal. A 409 without a known reason counts as a lost answer:
 * it doesn't prove that the worker has not accepted the task.
 */
function readRefusal(
  endpoint: string,
  body: unknown,
): Effect.Effect<never, Ports.WorkerError> {
  const refusal = (HttpJson.isObject(body) ? body : {}) as {
    worker?: string;
    reason?: Errors.RefusalReason;
    epoch?: number;
  };
  const { worker = endpoint, reason, epoch = 0 } = refusal;
  return reason !== undefined && REFUSAL_REASONS.has(reason)
    ? Effect.fail(new Errors.WorkerRefusedError({ worker, reason, epoch }))
    : failAsLost(endpoint, "status 409 without a known reason");
}

function failAsLost(
  worker: string,
  cause: string,
): Effect.Effect<never, Errors.WorkerLostError> {
  return Effect.fail(
    new Errors.WorkerLostError({ worker, cause, neverSent: false }),
  );
}
