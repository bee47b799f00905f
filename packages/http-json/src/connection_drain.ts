/** Closes the connections of an HTTP server without losing requests. */
import * as Effect from "effect/Effect";
import type * as http from "node:http";
import type * as net from "node:net";

/**
 * Turns of the event loop after which waiting connections are accepted and their
 * requests read.
 */
const READ_TURNS = 3;

/** Tracks the unanswered requests of an HTTP server, and closes its connections. */
export class ConnectionDrain {
  readonly #server: http.Server;
  /** Unanswered requests of each open connection. */
  readonly #connections = new Map<net.Socket, Set<http.ServerResponse>>();
  #isDraining = false;

  constructor(server: http.Server) {
    this.#server = server;
    server.on("connection", (socket) => {
      this.#connections.set(socket, new Set());
      socket.once("close", () => this.#connections.delete(socket));
    });
  }

  /** Starts to track a request; to be called for each one as it arrives. */
  track(req: http.IncomingMessage, res: http.ServerResponse): void {
    const unanswered = this.#connections.get(req.socket);
    unanswered?.add(res);
    res.once("close", () => unanswered?.delete(res));
  }

  /** From now on, a connection is closed after the answers to its requests. */
  begin(): void {
    this.#isDraining = true;
  }

  /** Prepares the headers of an answer; to be called right before it is sent. */
  beforeAnswer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Effect.Effect<void> {
    if (!this.#isDraining) return Effect.void;
    // Node drops the requests behind an answer with `connection: close`. After one turn,
    // those that arrived in the same segment are tracked.
    return Effect.map(waitTurns(1), () => {
      const isOnly = this.#connections.get(req.socket)?.size === 1;
      if (isOnly && !res.headersSent) res.setHeader("connection", "close");
    });
  }

  /** Accepts no new connections; completes when the last one is closed. */
  close(): Effect.Effect<void> {
    const closed = Effect.callback<void>((resume) => {
      this.#server.close(() => resume(Effect.void));
      this.#server.closeIdleConnections();
    });
    // Requests that arrived while the process was stalled are not read yet.
    return Effect.andThen(waitTurns(READ_TURNS), closed);
  }
}

/** Waits until the event loop has polled all sockets this many times. */
function waitTurns(count: number): Effect.Effect<void> {
  return Effect.callback((resume) => {
    let turns = 0;
    const next = () => {
      if (turns++ < count) setImmediate(next);
      else resume(Effect.void);
    };
    next();
  });
}
