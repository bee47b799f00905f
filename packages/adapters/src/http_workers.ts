/**
 * Workers over HTTP. Each order is `POST /v1/<order>` with a JSON body.
 * Answers: 200 with the reply; 409 with `reason` and `epoch` for a refusal.
 */
import * as Errors from "@cairngate/errors";
import * as HttpJson from "@cairngate/http-json";
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";

const STATUS_REFUSED = 409;
const STATUS_OK = 200;
/** Connections of a box to a worker that carry orders and reports. */
const CONTROL_CONNECTIONS = 2;

/** Adapter of the workers' port. */
export class HttpWorkers extends Ports.Workers {
  readonly #runs: HttpJson.HttpCaller;
  readonly #orders: HttpJson.HttpCaller;

  /** @param connections most connections of this box to one worker */
  constructor(
    connections: number,
    listener: HttpJson.TrafficListener | null = null,
  ) {
    super();
    const forRuns = Math.max(1, connections - CONTROL_CONNECTIONS);
    const onTraffic = listener;
    this.#runs = new HttpJson.HttpCaller({ connections: forRuns, onTraffic });
    this.#orders = new HttpJson.HttpCaller({
      connections: CONTROL_CONNECTIONS,
      onTraffic,
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#runs.close();
    this.#orders.close();
  }

  override seal(endpoint: string, fence: Types.Fence) {
    return this.#order<Types.Inventory>(endpoint, "seal", fence);
  }

  override hold(endpoint: string, order: Types.HoldOrder) {
    return this.#order<void>(endpoint, "hold", order);
  }

  override start(endpoint: string, order: Types.TaskOrder) {
    return this.#order<void>(endpoint, "start", order);
  }

  override run(endpoint: string, order: Types.HoldOrder) {
    return this.#call<Types.TaskAnswer>(this.#runs, endpoint, {
      path: "/v1/run",
      body: order,
    });
  }

  override stop(endpoint: string, order: Types.StopOrder) {
    return this.#order<Types.StopReply>(endpoint, "stop", order);
  }

  override report(endpoint: string, request: Types.ReportRequest) {
    return this.#order<Types.WorkerReport>(endpoint, "report", request);
  }

  #order<A>(
    endpoint: string,
    name: string,
    body: unknown,
  ): Effect.Effect<A, Ports.WorkerError> {
    return this.#call<A>(this.#orders, endpoint, {
      path: `/v1/${name}`,
      body,
    });
  }

  #call<A>(
    caller: HttpJson.HttpCaller,
    endpoint: string,
    what: { path: string; body: unknown },
  ): Effect.Effect<A, Ports.WorkerError> {
    const call = caller.call(endpoint, { method: "POST", ...what });
    return Effect.matchEffect(call, {
      onFailure: (err) =>
        Effect.fail<Ports.WorkerError>(
          new Errors.WorkerLostError({
            worker: endpoint,
            cause: err.cause,
            neverSent: err.neverSent,
          }),
        ),
      onSuccess: (reply) => readReply<A>(endpoint, reply),
    });
  }
}

function readReply<A>(
  endpoint: string,
  reply: HttpJson.HttpReply,
): Effect.Effect<A, Ports.WorkerError> {
  if (reply.status === STATUS_OK) return Effect.succeed(reply.body as A);
  if (reply.status === STATUS_REFUSED) {
    const body = reply.body as {
      worker?: string;
      reason?: Errors.RefusalReason;
      epoch?: number;
    };
    return Effect.fail(
      new Errors.WorkerRefusedError({
        worker: body.worker ?? endpoint,
        reason: body.reason ?? Errors.RefusalReason.Malformed,
        epoch: body.epoch ?? 0,
      }),
    );
  }
  return Effect.fail(
    new Errors.WorkerLostError({
      worker: endpoint,
      cause: `status ${reply.status}`,
      neverSent: false,
    }),
  );
}
