/**
 * Clients of the platform's services over HTTP: `POST /v1/table/read`, `/scan` and
 * `/transact`, `PUT` and `GET /v1/objects/<key>`, and `GET /v1/live` with
 * `If-None-Match`. Answers: 200 with the reply; 409 with `key`, `expected` and
 * `actual` for a failed condition; 503 for a call that was not carried out.
 */
import * as Errors from "@cairngate/errors";
import * as HttpJson from "@cairngate/http-json";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_UNAVAILABLE = 503;
/** Maximum number of connections from a box to each platform service. */
const CONNECTIONS_PER_SERVICE = 4;

/** Table service over HTTP. */
export class HttpTable extends Ports.TableService {
  readonly #platform: PlatformCaller;

  constructor(
    address: string,
    listener: HttpJson.TrafficListener | null = null,
  ) {
    super();
    this.#platform = new PlatformCaller(address, listener);
  }

  override read(keys: readonly string[]) {
    return this.#call<readonly Ports.Row[]>("read", { keys });
  }

  override scan(prefix: string, afterRevision: number) {
    const body = { prefix, afterRevision };
    return this.#call<readonly Ports.Row[]>("scan", body);
  }

  override transact(tx: Ports.Transaction) {
    const path = "/v1/table/transact";
    const call = this.#platform.call({
      method: "POST",
      path,
      body: tx,
    });
    return Effect.flatMap(call, (reply) => {
      if (reply.status === STATUS_OK) {
        return Effect.succeed((reply.body as { revision: number }).revision);
      }
      const body = reply.body as {
        key: string;
        expected: number;
        actual: number;
      };
      return Effect.fail(new Errors.ConditionFailedError(body));
    });
  }

  #call<A>(
    operation: string,
    body: unknown,
  ): Effect.Effect<A, Ports.StoreError> {
    const path = `/v1/table/${operation}`;
    const call = this.#platform.call({
      method: "POST",
      path,
      body,
    });
    return Effect.map(call, (reply) => reply.body as A);
  }
}

/** Object store over HTTP. */
export class HttpObjectStore extends Ports.ObjectStore {
  readonly #platform: PlatformCaller;

  constructor(
    address: string,
    listener: HttpJson.TrafficListener | null = null,
  ) {
    super();
    this.#platform = new PlatformCaller(address, listener);
  }

  override put(key: string, value: unknown) {
    const call = this.#platform.call({
      method: "PUT",
      path: `/v1/objects/${encodeURIComponent(key)}`,
      body: { value },
    });
    return Effect.asVoid(call);
  }

  override get(key: string) {
    const call = this.#platform.call({
      method: "GET",
      path: `/v1/objects/${encodeURIComponent(key)}`,
    });
    return Effect.map(
      call,
      (reply) =>
        reply.status === STATUS_NOT_FOUND
          ? undefined
          : (reply.body as { value: unknown }).value,
    );
  }
}

/** List of live workers over HTTP. */
export class HttpLiveList extends Ports.LiveList {
  readonly #platform: PlatformCaller;

  constructor(
    address: string,
    listener: HttpJson.TrafficListener | null = null,
  ) {
    super();
    this.#platform = new PlatformCaller(address, listener);
  }

  override workers(lastTag: string | null) {
    const headers: Record<string, string> = {};
    if (lastTag !== null) headers["if-none-match"] = `"${lastTag}"`;
    const call = this.#platform.call({
      method: "GET",
      path: "/v1/live",
      headers,
    });
    return Effect.map(call, (reply) => {
      if (reply.status === STATUS_NOT_MODIFIED) return null;
      return reply.body as Ports.LiveSnapshot;
    });
  }
}

/**
 * Calls one platform service. Fails with StoreUnavailableError if the call was not
 * carried out, and with AnswerLostError if it may have been.
 */
class PlatformCaller {
  readonly #caller: HttpJson.HttpCaller;
  readonly #address: string;

  constructor(address: string, listener: HttpJson.TrafficListener | null) {
    this.#address = address;
    this.#caller = new HttpJson.HttpCaller({
      connections: CONNECTIONS_PER_SERVICE,
      onTraffic: listener,
    });
  }

  call(
    req: HttpJson.HttpCall,
  ): Effect.Effect<HttpJson.HttpResponse, Ports.StoreError> {
    const operation = `${req.method} ${req.path}`;
    return Effect.matchEffect(this.#caller.call(this.#address, req), {
      onFailure: (err) =>
        Effect.fail<Ports.StoreError>(
          err.neverSent
            ? new Errors.StoreUnavailableError({ operation, cause: err.cause })
            : new Errors.AnswerLostError({ operation }),
        ),
      onSuccess: (reply) =>
        mayHaveNoBody(req, reply) || isObjectOrArray(reply.body)
          ? checkStatus(operation, reply)
          : Effect.fail(new Errors.AnswerLostError({ operation })),
    });
  }
}

/** Whether an answer may lack a body: only 200 and 409 need one, but not for PUT. */
function mayHaveNoBody(
  { method }: HttpJson.HttpCall,
  { status }: HttpJson.HttpResponse,
): boolean {
  return method === "PUT" ||
    (status !== STATUS_OK && status !== STATUS_CONFLICT);
}

function isObjectOrArray(body: unknown): boolean {
  return typeof body === "object" && body !== null;
}

function checkStatus(
  operation: string,
  reply: HttpJson.HttpResponse,
): Effect.Effect<HttpJson.HttpResponse, Ports.StoreError> {
  const handledStatuses = [
    STATUS_OK,
    STATUS_NOT_MODIFIED,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
  ];
  if (handledStatuses.includes(reply.status)) return Effect.succeed(reply);
  if (reply.status === STATUS_UNAVAILABLE) {
    const cause = "outage";
    return Effect.fail(new Errors.StoreUnavailableError({ operation, cause }));
  }
  return Effect.fail(new Errors.AnswerLostError({ operation }));
}
