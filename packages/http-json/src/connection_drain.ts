/** Closes the connections of an HTTP server without losing requests. */
import * as Effect from "effect/Effect";
import type * as http from "node:http";
import type * as net from "node:net";

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
    return Effect.map(waitTurn(), () => {
      const isOnly = this.#connections.get(req.socket)?.size === 1;
      if (isOnly && !res.headersSent) res.setHeader("connection", "close");
    });
  }

  /** Accepts no new connections; completes when the last one is closed. */
  close(): Effect.Effect<void> {
    return Effect.callback((resume) => {
      this.#server.close(() => resume(Effect.void));
      this.#server.closeIdleConnections();
    });
  }
}

/** Waits until the event loop has polled all sockets. */
function waitTurn(): Effect.Effect<void> {
  return Effect.callback((resume) => {
    setImmediate(() => resume(Effect.void));
  });
}
