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
  /** Notes on its connection who has answered; see `onlyTo`. */
  readonly noteSpeaker: (speaker: string) => void;
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
  /** Calls with the same word here have connections that no other call uses. */
  readonly lane?: string;
  /**
   * Only over a kept connection on which this speaker has answered last. A connection
   * ends with the process at its other end, so another one can't receive the call,
   * whoever listens at the address by now. Without such a connection nothing is sent.
   */
  readonly onlyTo?: string;
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
  /** Who has answered on it last; null: nobody has said. */
  speaker: string | null;
}

/** Keeps the connections of each lane apart. */
class LaneAgent extends http.Agent {
  override getName(options: http.RequestOptions & LaneOptions = {}) {
    return `${super.getName(options)}:${options.lane ?? ""}`;
  }
}

interface LaneOptions {
  readonly lane?: string | undefined;
}

/**
 * Calls over at most a number of connections to each address. Connections that
 * may have turned silent are not used again (answer_watch.ts).
 */
export class HttpCaller {
  readonly #options: HttpCallerOptions;
  readonly #agent: LaneAgent;
  readonly #watch = new watches.AnswerWatch();
  readonly #connections = new WeakMap<net.Socket, Connection>();
  /** Lanes that calls have had; few words, the same for all addresses. */
  readonly #lanes = new Set<string | undefined>([undefined]);
  /** Addresses whose suspect connections are being closed in this turn. */
  readonly #closing = new Set<string>();

  constructor(options: HttpCallerOptions) {
    this.#options = options;
    this.#agent = new LaneAgent({
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
      if (what.onlyTo !== undefined) this.#closeToOthers(address, what);
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
      if (!this.#mayReachSpeaker(address, what)) {
        const cause = "no open connection to the one that answered before";
        const neverSent = true;
        const err = new HttpLostError({ address, cause, neverSent });
        return resume(Effect.fail(err));
      }
      const call = this.#begin(address, what);
      let socket: net.Socket | null = null;
      let wasOpen = false;
      const req = this.#open(address, what);
      const fail = (cause: string, neverSent: boolean) => {
        this.#watch.ended(call);
        resume(
          Effect.fail(new HttpLostError({ address, cause, neverSent })),
        );
      };
      req.on("socket", (assigned) => {
        socket = assigned;
        if (assigned.connecting) {
          assigned.once("connect", () => (wasOpen = true));
        } else wasOpen = true;
        call.onKept = req.reusedSocket;
        this.#connectionOf(assigned);
      });
      req.on("error", (err: NodeJS.ErrnoException) => {
        fail(err.message, !wasOpen && CONNECT_REFUSED.has(err.code ?? ""));
      });
      req.on("response", (res) => {
        const connection = this.#connectionOf(res.socket);
        const heard = () => {
          connection.heardAtMs = performance.now();
        };
        heard();
        res.on("data", heard);
        // Until its answer says who speaks, nobody is known to.
        connection.speaker = null;
        const noteSpeaker = (speaker: string) => {
          connection.speaker = speaker;
        };
        collect(res, (reply) => {
          this.#watch.answered(call, connection.heardAtMs);
          this.#tell(res.socket, connection);
          resume(Effect.succeed({ ...reply, noteSpeaker }));
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
    const idle = [...this.#lanes].flatMap((lane) =>
      this.#idleTo(address, lane)
    );
    const suspects = idle.filter((socket) =>
      this.#connectionOf(socket).heardAtMs < sinceMs
    );
    this.#close(address, suspects);
    return suspects.length;
  }

  /** Idle connections of a lane. */
  #idleTo(address: string, lane: string | undefined): net.Socket[] {
    const { host, port } = addresses.parseAddress(address);
    const name = this.#agent.getName({ host, port, lane });
    const idle = this.#agent.freeSockets[name] ?? [];
    return idle.filter(({ destroyed }) => !destroyed);
  }

  #close(address: string, sockets: readonly net.Socket[]): void {
    if (sockets.length === 0) return;
    for (const socket of sockets) socket.destroy();
    this.#closing.add(address);
    setImmediate(() => this.#closing.delete(address));
  }

  #closeToOthers(address: string, { lane, onlyTo }: HttpCall): void {
    const others = this.#idleTo(address, lane).filter((socket) =>
      this.#connectionOf(socket).speaker !== onlyTo
    );
    this.#close(address, others);
  }

  /** Whether the connection that will be taken leads to whom the call is for. */
  #mayReachSpeaker(address: string, { lane, onlyTo }: HttpCall): boolean {
    if (onlyTo === undefined) return true;
    const idle = this.#idleTo(address, lane);
    return idle.length > 0 &&
      idle.every((socket) => this.#connectionOf(socket).speaker === onlyTo);
  }

  #connectionOf(socket: net.Socket): Connection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const nowMs = performance.now();
    const told = { sent: 0, received: 0 };
    const made = { openedAtMs: nowMs, heardAtMs: nowMs, told, speaker: null };
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
    const { method, path, lane } = what;
    this.#lanes.add(lane);
    const headers = { "content-type": "application/json", ...what.headers };
    const agent = what.onNewConnection === true ? false : this.#agent;
    const options = { host, port, method, path, headers, agent, lane };
    return http.request(options);
  }
}

/** Lets what has happened to sockets take effect. */
const nextTurn: Effect.Effect<void> = Effect.callback<void>((resume) => {
  setImmediate(() => resume(Effect.void));
});

function collect(
  res: http.IncomingMessage,
  done: (reply: Omit<HttpReply, "noteSpeaker">) => void,
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
