/** The server to which peers open their links. */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as http from "node:http";
import * as Ws from "ws";
import * as frames from "./frames.ts";

/** Answers a request of a peer. A failure is sent back as it is. */
export type RequestHandler = (
  from: string,
  req: object,
) => Effect.Effect<unknown, Errors.NotOwnerError | Errors.NotReadyError>;

/** What the server needs. */
export interface PeerServerOptions {
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

const LARGEST_FRAME_BYTES = 16_000_000;

/** Takes links and answers what comes over them. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server = http.createServer();
  #sockets: Ws.WebSocketServer | null = null;

  constructor(options: PeerServerOptions) {
    this.#options = options;
  }

  /** Opens the server. */
  listen(
    address: string,
    handler: RequestHandler,
  ): Effect.Effect<void, Errors.ListenError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#listenOn(address);
      this.#sockets = new Ws.WebSocketServer({
        server: this.#server,
        maxPayload: LARGEST_FRAME_BYTES,
        perMessageDeflate: false,
      });
      this.#sockets.on("connection", (socket) => this.#accept(socket, handler));
    });
  }

  /** Closes the server and all links that peers have opened. */
  close(): void {
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

  #accept(socket: Ws.WebSocket, handler: RequestHandler): void {
    const { metrics, log } = this.#options;
    const codec = new frames.FrameCodec();
    const answering = new Set<Fiber.Fiber<void>>();
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
      for (const fiber of answering) Effect.runFork(Fiber.interrupt(fiber));
    });
    socket.on("message", (data: Uint8Array) => {
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
      answering.add(fiber);
      fiber.addObserver(() => answering.delete(fiber));
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
        const bytes = connection.codec.encode(reply);
        const { metrics } = this.#options;
        metrics.count("cairngate_peer_sent_bytes_total", {}, bytes.length);
        connection.socket.send(bytes, () => {});
      }),
    );
  }
}

function toFailure(
  id: number,
  err: Errors.NotOwnerError | Errors.NotReadyError,
): frames.Frame {
  const { _tag: tag, ...fields } = err;
  return { kind: frames.FrameKind.Failure, id, tag, fields };
}
