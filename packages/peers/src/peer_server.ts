/** Server that accepts links from peers. */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as http from "node:http";
import * as Ws from "ws";
import * as frames from "./frames.ts";

/** Answers a request from a peer; failures are sent back with their tag and fields. */
export type RequestHandler = (
  from: string,
  req: object,
) => Effect.Effect<unknown, Errors.NotOwnerError | Errors.NotReadyError>;

/** Dependencies of the server. */
export interface PeerServerOptions {
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** Links of all peers: a few from each of some hundred boxes. */
const MAX_CONNECTIONS = 1024;
/** Time within which the request to open a link must arrive, in ms. */
const HEADERS_TIMEOUT_MS = 3000;
const UPGRADE_REQUIRED = 426;
const MAX_FRAME_BYTES = 16_000_000;
/**
 * Interval between two checks of the accepted links, in ms. A link that received
 * nothing in this time is pinged, and closed if nothing arrives before the next
 * check. A ping every 10 s costs almost nothing, and peers close unused links after
 * 30 s.
 */
const CHECK_INTERVAL_MS = 10_000;
/**
 * Limit of the replies that a peer has not read, in bytes. Beyond it the peer is gone
 * or too slow to be served; a page of rows is at most 1 MB.
 */
const MAX_UNREAD_BYTES = 8_000_000;

/** Failure for a reply that can't be encoded. */
const TOO_DEEP = new Errors.NotReadyError({
  waitsFor: "a reply that is not nested too deeply",
});

/** Accepts links and answers the requests that arrive on them. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #checkIntervalMs: number;
  readonly #server = http.createServer();
  #sockets: Ws.WebSocketServer | null = null;
  #checkTimer: NodeJS.Timeout | null = null;
  /** Links that received something since the last check. */
  readonly #active = new WeakSet<Ws.WebSocket>();
  /** Links that were pinged and have not received anything since. */
  readonly #pinged = new WeakSet<Ws.WebSocket>();

  /** @param options.checkIntervalMs interval between checks of the links, in ms */
  constructor(
    options: PeerServerOptions & { readonly checkIntervalMs?: number },
  ) {
    this.#options = options;
    this.#checkIntervalMs = options.checkIntervalMs ?? CHECK_INTERVAL_MS;
  }

  /** Listens on an address and answers requests with the handler. */
  listen(
    address: string,
    handler: RequestHandler,
  ): Effect.Effect<void, Errors.ListenError> {
    return Effect.gen({ self: this }, function* () {
      this.#server.maxConnections = MAX_CONNECTIONS;
      this.#server.headersTimeout = HEADERS_TIMEOUT_MS;
      this.#server.on("request", refuseRequest);
      yield* this.#listenOn(address);
      this.#sockets = new Ws.WebSocketServer({
        server: this.#server,
        maxPayload: MAX_FRAME_BYTES,
        perMessageDeflate: false,
      });
      this.#sockets.on("connection", (socket) => this.#accept(socket, handler));
      // Data that arrived while the event loop was blocked is read before the check.
      const check = () => setImmediate(() => this.#closeSilent());
      this.#checkTimer = setInterval(check, this.#checkIntervalMs);
    });
  }

  /** Closes the server and all links that peers have opened. */
  close(): void {
    if (this.#checkTimer !== null) clearInterval(this.#checkTimer);
    for (const client of this.#sockets?.clients ?? []) client.terminate();
    this.#sockets?.close();
    this.#server.close();
  }

  #listenOn(address: string): Effect.Effect<void, Errors.ListenError> {
    return Effect.callback<void, Errors.ListenError>((resume) => {
      const { hostname, port } = new URL(`ws://${address}`);
      this.#server.once("error", (err) => {
        const cause = err.message;
        resume(Effect.fail(new Errors.ListenError({ address, cause })));
      });
      const host = hostname.replace(/^\[|\]$/g, "");
      this.#server.listen(Number(port || 80), host, () => resume(Effect.void));
    });
  }

  /** Closes links that did not answer a ping; pings idle ones. */
  #closeSilent(): void {
    for (const socket of this.#sockets?.clients ?? []) {
      if (this.#active.delete(socket)) this.#pinged.delete(socket);
      else if (this.#pinged.has(socket)) this.#drop(socket, "is silent");
      else {
        this.#pinged.add(socket);
        socket.ping();
      }
    }
  }

  #drop(socket: Ws.WebSocket, why: string): void {
    const { log, metrics } = this.#options;
    const kind = "accepted";
    metrics.count("cairngate_connections_silent_total", { kind });
    log.warn(
      `A link opened by a peer ${why} and is closed; ` +
        `${socket.bufferedAmount} bytes were left unread.`,
    );
    socket.terminate();
  }

  #accept(socket: Ws.WebSocket, handler: RequestHandler): void {
    const { metrics, log } = this.#options;
    const codec = new frames.FrameCodec();
    const pendingFibers = new Set<Fiber.Fiber<void>>();
    socket.on("error", () => socket.terminate());
    socket.on("pong", () => this.#active.add(socket));
    socket.on("close", () => {
      for (const fiber of pendingFibers) Effect.runFork(Fiber.interrupt(fiber));
    });
    socket.on("message", (data: Uint8Array) => {
      this.#active.add(socket);
      metrics.count("cairngate_peer_received_bytes_total", {}, data.length);
      const frame = codec.decode(data, "a peer");
      if (frame instanceof Errors.MalformedMessageError) {
        metrics.count("cairngate_peer_malformed_total");
        log.warn(frame.message);
        return;
      }
      if (frame.kind === frames.FrameKind.Notice) {
        Effect.runFork(Effect.ignore(handler(frame.from, frame.req)));
        return;
      }
      if (frame.kind !== frames.FrameKind.Request) return;
      const connection = { socket, codec };
      const fiber = Effect.runFork(this.#answer(connection, frame, handler));
      pendingFibers.add(fiber);
      fiber.addObserver(() => pendingFibers.delete(fiber));
    });
  }

  #answer(
    connection: { socket: Ws.WebSocket; codec: frames.FrameCodec },
    frame: frames.RequestFrame,
    handler: RequestHandler,
  ): Effect.Effect<void> {
    const { id } = frame;
    return handler(frame.from, frame.req).pipe(
      Effect.map((value): frames.Frame => ({
        kind: frames.FrameKind.Reply,
        id,
        value,
      })),
      Effect.catch((err) => Effect.succeed(toFailure(id, err))),
      Effect.map((reply) => {
        const sent = frames.canEncode(reply) ? reply : toFailure(id, TOO_DEEP);
        const bytes = connection.codec.encode(sent);
        const { metrics } = this.#options;
        metrics.count("cairngate_peer_sent_bytes_total", {}, bytes.length);
        const { socket } = connection;
        socket.send(bytes, () => {});
        if (socket.bufferedAmount > MAX_UNREAD_BYTES) {
          this.#drop(socket, "does not read its replies");
        }
      }),
    );
  }
}

/** Only links are accepted; any other request is refused and its connection closed. */
function refuseRequest(
  req: http.IncomingMessage,
  res: http.ServerResponse,
): void {
  if (req.socket.destroyed) return;
  res.writeHead(UPGRADE_REQUIRED, { connection: "close" }).end();
  res.once("finish", () => req.socket.destroy());
}

function toFailure(
  id: number,
  err: Errors.NotOwnerError | Errors.NotReadyError,
): frames.Frame {
  const { _tag: tag, ...fields } = err;
  return { kind: frames.FrameKind.Failure, id, tag, fields };
}
