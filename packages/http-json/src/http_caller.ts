/** Calls JSON endpoints over kept connections. */
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import type * as net from "node:net";
import * as addresses from "./address.ts";
import * as watches from "./answer_watch.ts";

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
  /** Time for which the other side holds the answer back, in ms; usually 0. */
  readonly quietMs?: number;
  /** Over a connection of its own, which shows whether the address answers. */
  readonly onNewConnection?: boolean;
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

/** A kept connection that was given up because nothing came on it any more. */
export interface SilentConnection {
  readonly address: string;
  /** Since it was opened, in ms. */
  readonly ageMs: number;
  /** Since something came on it, or since the call was sent, in ms. */
  readonly silentMs: number;
  /** Idle connections to the same address that were closed with it. */
  readonly neighbours: number;
}

/** How calls are made. */
export interface HttpCallerOptions {
  /** Most connections to one address. */
  readonly connections: number;
  readonly onTraffic?: TrafficListener | null;
  /** Told of each connection that is given up as silent. */
  readonly onSilence?: (silent: SilentConnection) => void;
  /** Told of each connection that is opened. */
  readonly onOpened?: () => void;
}

/** What is known of one connection. */
interface Connection {
  readonly openedAtMs: number;
  heardAtMs: number;
  /** Bytes that the listener was told of. */
  told: { sent: number; received: number };
}

/**
 * Calls over at most a number of connections to each address. Connections that
 * may have turned silent are not used again (answer_watch.ts).
 */
export class HttpCaller {
  readonly #options: HttpCallerOptions;
  readonly #agent: http.Agent;
  readonly #watch = new watches.AnswerWatch();
  readonly #connections = new WeakMap<net.Socket, Connection>();
  /** Addresses whose suspect connections are being closed in this turn. */
  readonly #closing = new Set<string>();

  constructor(options: HttpCallerOptions) {
    this.#options = options;
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: options.connections,
      timeout: IDLE_MS,
    });
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
    return Effect.suspend(() => {
      const nowMs = performance.now();
      const suspectMs = this.#watch.suspectBeforeMs(address, nowMs);
      if (suspectMs !== null) this.#closeIdle(address, suspectMs);
      const exchange = this.#exchange(address, what);
      // A connection leaves the pool a turn after it was closed.
      return this.#closing.has(address)
        ? Effect.andThen(nextTurn, exchange)
        : exchange;
    });
  }

  #exchange(
    address: string,
    what: HttpCall,
  ): Effect.Effect<HttpReply, HttpLostError> {
    return Effect.callback<HttpReply, HttpLostError>((resume) => {
      const call = this.#begin(address, what);
      let socket: net.Socket | null = null;
      const req = this.#open(address, what);
      const fail = (cause: string, neverSent: boolean) => {
        this.#watch.ended(call);
        resume(
          Effect.fail(new HttpLostError({ address, cause, neverSent })),
        );
      };
      req.on("socket", (assigned) => {
        socket = assigned;
        call.onKept = req.reusedSocket;
        this.#connectionOf(assigned);
      });
      req.on("error", (err: NodeJS.ErrnoException) => {
        fail(err.message, CONNECT_REFUSED.has(err.code ?? ""));
      });
      req.on("response", (res) => {
        const connection = this.#connectionOf(res.socket);
        const heard = () => {
          connection.heardAtMs = performance.now();
        };
        heard();
        res.on("data", heard);
        collect(res, (reply) => {
          this.#watch.answered(call, connection.heardAtMs);
          this.#tell(res.socket, connection);
          resume(Effect.succeed(reply));
        }, fail);
      });
      req.end(what.body === undefined ? undefined : JSON.stringify(what.body));
      return Effect.sync(() => {
        this.#giveUp(call, socket);
        req.destroy();
      });
    });
  }

  #begin(address: string, what: HttpCall): watches.WaitingCall {
    const call: watches.WaitingCall = {
      address,
      sentAtMs: performance.now(),
      quietMs: what.quietMs ?? 0,
      onKept: false,
    };
    this.#watch.begin(call);
    return call;
  }

  /** The caller waits no longer. */
  #giveUp(call: watches.WaitingCall, socket: net.Socket | null): void {
    this.#watch.ended(call);
    if (socket === null) return;
    const nowMs = performance.now();
    const { openedAtMs, heardAtMs } = this.#connectionOf(socket);
    if (!this.#watch.isSilence(call, heardAtMs, nowMs)) return;
    const { address, sentAtMs } = call;
    const sinceMs = Math.max(sentAtMs, heardAtMs);
    const neighbours = this.#closeIdle(address, sinceMs);
    this.#options.onSilence?.({
      address,
      ageMs: nowMs - openedAtMs,
      silentMs: nowMs - sinceMs,
      neighbours,
    });
  }

  /** Closes idle connections that were not heard since; returns how many. */
  #closeIdle(address: string, sinceMs: number): number {
    const { host, port } = addresses.parseAddress(address);
    const idle = this.#agent.freeSockets[this.#agent.getName({ host, port })];
    const suspects = (idle ?? []).filter((socket) =>
      !socket.destroyed && this.#connectionOf(socket).heardAtMs < sinceMs
    );
    for (const socket of suspects) socket.destroy();
    if (suspects.length > 0) {
      this.#closing.add(address);
      setImmediate(() => this.#closing.delete(address));
    }
    return suspects.length;
  }

  #connectionOf(socket: net.Socket): Connection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const nowMs = performance.now();
    const told = { sent: 0, received: 0 };
    const made = { openedAtMs: nowMs, heardAtMs: nowMs, told };
    this.#connections.set(socket, made);
    this.#options.onOpened?.();
    return made;
  }

  #tell(socket: net.Socket, connection: Connection): void {
    const listener = this.#options.onTraffic ?? null;
    if (listener === null) return;
    const { bytesWritten: sent, bytesRead: received } = socket;
    const { told } = connection;
    connection.told = { sent, received };
    listener(sent - told.sent, received - told.received);
  }

  #open(address: string, what: HttpCall): http.ClientRequest {
    const { host, port } = addresses.parseAddress(address);
    const { method, path } = what;
    const headers = { "content-type": "application/json", ...what.headers };
    const agent = what.onNewConnection === true ? false : this.#agent;
    return http.request({ host, port, method, path, headers, agent });
  }
}

/** Lets what has happened to sockets take effect. */
const nextTurn: Effect.Effect<void> = Effect.callback<void>((resume) => {
  setImmediate(() => resume(Effect.void));
});

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

/**
 * Undefined where the answer claims to be JSON and is not. One without a body is
 * whole: its status may say all.
 */
function parseAnswer(text: string, type: string): unknown {
  if (!type.includes("json")) return text;
  if (text === "") return null;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
