/** Bounds the requests under way, on one connection and on a server as a whole. */
import type * as http from "node:http";
import type * as net from "node:net";
import process from "node:process";

/** Limits of the requests under way on a server. */
export interface RequestLimits {
  readonly requests: number;
  /** Those among them that were sent ahead on their connection. */
  readonly requestsAhead: number;
}

/** A request under way. */
export interface RequestSlot {
  /** The request has been carried out; its response may still be unread. */
  end(): void;
}

/** Requests of one connection after which it isn't read until one is answered. */
const PAUSE_AT = 16;
/**
 * Requests of one connection above which it is closed. Those that arrive in one read
 * are parsed together, so a paused connection may exceed `PAUSE_AT`.
 */
const MAX_PER_CONNECTION = 128;

/** Requests of one connection that are not answered yet. */
interface Connection {
  unanswered: number;
  isPaused: boolean;
  isClosed: boolean;
}

/**
 * Counts a request until it has been carried out and its response was handed to the
 * operating system, or its connection was closed.
 */
export class RequestLimit {
  readonly #limits: RequestLimits;
  readonly #connections = new WeakMap<net.Socket, Connection>();
  #requests = 0;
  #requestsAhead = 0;

  constructor(limits: RequestLimits) {
    this.#limits = limits;
  }

  /** Number of requests under way. */
  get requests(): number {
    return this.#requests;
  }

  /**
   * Takes in a request. Null if a limit is reached: then its connection is closed if
   * the request was sent ahead; otherwise the caller should get a refusal.
   */
  begin(
    { socket }: http.IncomingMessage,
    res: http.ServerResponse,
  ): RequestSlot | null {
    // Requests that arrived together are parsed even after the connection is closed.
    if (socket.destroyed) return null;
    const connection = this.#connectionOf(socket);
    const isAhead = connection.unanswered > 0;
    if (isAhead && this.#isFullFor(connection)) {
      socket.destroy();
      return null;
    }
    this.#countUnanswered(connection, socket, res);
    if (this.#requests >= this.#limits.requests) return null;
    return this.#occupy({ connection, res, isAhead });
  }

  #isFullFor({ unanswered }: Connection): boolean {
    return unanswered >= MAX_PER_CONNECTION ||
      this.#requestsAhead >= this.#limits.requestsAhead ||
      this.#requests >= this.#limits.requests;
  }

  #connectionOf(socket: net.Socket): Connection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = { unanswered: 0, isPaused: false, isClosed: false };
    this.#connections.set(socket, connection);
    socket.once("close", () => (connection.isClosed = true));
    return connection;
  }

  #countUnanswered(
    connection: Connection,
    socket: net.Socket,
    res: http.ServerResponse,
  ): void {
    connection.unanswered++;
    regulate(connection, socket);
    res.once("close", () => {
      connection.unanswered--;
      regulate(connection, socket);
    });
  }

  #occupy(
    { connection, res, isAhead }: {
      connection: Connection;
      res: http.ServerResponse;
      isAhead: boolean;
    },
  ): RequestSlot {
    this.#requests++;
    if (isAhead) this.#requestsAhead++;
    const free = () => {
      this.#requests--;
      if (isAhead) this.#requestsAhead--;
    };
    return {
      end: () => {
        // A response that waits behind another one is not closed with its connection.
        if (res.closed || connection.isClosed) return free();
        const { socket } = res.req;
        const onClose = () => {
          res.off("close", onClose);
          socket.off("close", onClose);
          free();
        };
        res.once("close", onClose);
        socket.once("close", onClose);
      },
    };
  }
}

/** Pauses or resumes the reading of a connection. */
function regulate(connection: Connection, socket: net.Socket): void {
  if (connection.unanswered < PAUSE_AT && !connection.isPaused) return;
  // Node itself resumes the socket after each request that it has parsed or answered.
  process.nextTick(() => {
    connection.isPaused = connection.unanswered >= PAUSE_AT;
    if (connection.isPaused) socket.pause();
    else socket.resume();
  });
}
