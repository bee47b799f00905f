/** Closes the connections of an HTTP server without losing requests. */
import * as Effect from "effect/Effect";
import type * as http from "node:http";
import type * as net from "node:net";

/**
 * Turns of the event loop without a new connection or request after which all waiting
 * ones have been read. Each turn accepts one connection.
 */
const QUIET_TURNS = 3;
/** Limit of these turns, for callers that never pause. */
const MAX_READ_TURNS = 2000;

/** Tracks the unanswered requests of an HTTP server, and closes its connections. */
export class ConnectionDrain {
  readonly #server: http.Server;
  /** Unanswered requests of each open connection. */
  readonly #connections = new Map<net.Socket, Set<http.ServerResponse>>();
  #isDraining = false;
  /** Number of connections and requests so far. */
  #arrivals = 0;

  constructor(server: http.Server) {
    this.#server = server;
    server.on("connection", (socket) => {
      this.#arrivals++;
      this.#connections.set(socket, new Set());
      socket.once("close", () => this.#connections.delete(socket));
    });
  }

  /** Starts to track a request; to be called for each one as it arrives. */
  track(req: http.IncomingMessage, res: http.ServerResponse): void {
    this.#arrivals++;
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

  /**
   * Accepts no new connections; completes when the last one is closed.
   * @param onListenerClosed called once no new connection is accepted
   */
  close(onListenerClosed: () => void = () => {}): Effect.Effect<void> {
    const closed = Effect.callback<void>((resume) => {
      this.#server.close(() => resume(Effect.void));
      this.#server.closeIdleConnections();
      onListenerClosed();
    });
    // Requests that arrived while the process was stalled are not read yet.
    return Effect.andThen(this.#readWaiting(), closed);
  }

  #readWaiting(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      let quietTurns = 0;
      for (let i = 0; i < MAX_READ_TURNS && quietTurns < QUIET_TURNS; i++) {
        const before = this.#arrivals;
        yield* waitTurn();
        quietTurns = this.#arrivals === before ? quietTurns + 1 : 0;
      }
    });
  }

  /**
   * Answers the requests that were received in full and are still unanswered, and
   * closes their connections; completes when these answers are sent.
   */
  answerRest(
    answer: (res: http.ServerResponse) => void,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const rest = [...this.#connections.values()].flatMap((unanswered) => {
        const complete = [...unanswered].filter((res) =>
          res.req.complete && !res.headersSent
        );
        complete.at(-1)?.setHeader("connection", "close");
        return complete;
      });
      const sent = rest.map((res) =>
        Effect.callback<void>((resume) => {
          res.once("close", () => resume(Effect.void));
          answer(res);
        })
      );
      return Effect.all(sent, { concurrency: "unbounded", discard: true });
    });
  }
}

/** Waits until the event loop has polled all sockets. */
function waitTurn(): Effect.Effect<void> {
  return Effect.callback((resume) => {
    setImmediate(() => resume(Effect.void));
  });
}
