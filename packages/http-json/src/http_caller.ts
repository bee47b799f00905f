/** Calls JSON endpoints over kept connections. */
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import type * as net from "node:net";
import * as addresses from "./address.ts";

/** A complete answer. */
export interface HttpReply {
  readonly status: number;
  readonly body: unknown;
  readonly headers: http.IncomingHttpHeaders;
}

/** No complete answer came. */
export class HttpLostError extends Data.TaggedError("HttpLostError")<{
  readonly address: string;
  readonly cause: string;
  /** True where no connection could be opened, so nothing was sent. */
  readonly neverSent: boolean;
}> {}

/** What to call. */
export interface HttpCall {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

const CONNECT_REFUSED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/**
 * Idle connections are closed before the usual 5 s of servers: a request sent
 * just as the server closes the connection would be lost, and nobody could
 * tell whether it was carried out.
 */
const IDLE_MS = 4000;

/** Told of the bytes on the wire, headers included, after each answer. */
export type TrafficListener = (
  sentBytes: number,
  receivedBytes: number,
) => void;

/** Calls over at most a number of connections to each address. */
export class HttpCaller {
  readonly #agent: http.Agent;
  readonly #listener: TrafficListener | null;
  /** Bytes of each connection that were told already. */
  readonly #told = new WeakMap<
    net.Socket,
    { sent: number; received: number }
  >();

  /** @param connections most connections to one address */
  constructor(connections: number, listener: TrafficListener | null = null) {
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: connections,
      timeout: IDLE_MS,
    });
    this.#listener = listener;
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  /** Calls and waits for the whole answer; interruption ends the call. */
  call(
    address: string,
    what: HttpCall,
  ): Effect.Effect<HttpReply, HttpLostError> {
    return Effect.callback<HttpReply, HttpLostError>((resume) => {
      const req = this.#open(address, what);
      const fail = (cause: string, neverSent: boolean) =>
        resume(
          Effect.fail(new HttpLostError({ address, cause, neverSent })),
        );
      req.on("error", (err: NodeJS.ErrnoException) => {
        fail(err.message, CONNECT_REFUSED.has(err.code ?? ""));
      });
      req.on("response", (res) => {
        const { socket } = res;
        collect(res, (reply) => {
          this.#tell(socket);
          resume(Effect.succeed(reply));
        }, fail);
      });
      req.end(what.body === undefined ? undefined : JSON.stringify(what.body));
      return Effect.sync(() => {
        req.destroy();
      });
    });
  }

  #tell(socket: net.Socket): void {
    if (this.#listener === null) return;
    const { bytesWritten: sent, bytesRead: received } = socket;
    const before = this.#told.get(socket) ?? { sent: 0, received: 0 };
    this.#told.set(socket, { sent, received });
    this.#listener(sent - before.sent, received - before.received);
  }

  #open(address: string, what: HttpCall): http.ClientRequest {
    const { host, port } = addresses.parseAddress(address);
    const { method, path } = what;
    const headers = { "content-type": "application/json", ...what.headers };
    const agent = this.#agent;
    return http.request({ host, port, method, path, headers, agent });
  }
}

function collect(
  res: http.IncomingMessage,
  done: (reply: HttpReply) => void,
  fail: (cause: string, neverSent: boolean) => void,
): void {
  let text = "";
  res.setEncoding("utf8");
  res.on("data", (chunk: string) => (text += chunk));
  res.on("error", (err) => fail(err.message, false));
  res.on("close", () => {
    if (!res.complete) fail("the answer was cut off", false);
  });
  res.on("end", () => {
    const { statusCode, headers } = res;
    const body = parseAnswer(text, headers["content-type"] ?? "");
    if (body === undefined) fail("the answer is not JSON", false);
    else done({ status: statusCode ?? 0, body, headers });
  });
}

/** Undefined where the answer claims to be JSON and is not. */
function parseAnswer(text: string, type: string): unknown {
  if (!type.includes("json")) return text;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
