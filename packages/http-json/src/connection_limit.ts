/** Bounds the connections of a server; the longest waiting ones give way. */
import type * as http from "node:http";
import type * as net from "node:net";

/**
 * Closes a connection for each new one above the limit: the one that has waited for
 * the longest for its caller, be it for a request or for the rest of a body. A
 * connection whose request is being carried out is not closed; if there is no other,
 * the new one is. `maxConnections` of a server would only refuse new ones, and so every
 * caller while silent connections hold all places.
 */
export class ConnectionLimit {
  readonly #maxConnections: number;
  /** Connections that wait for their callers, the longest waiting first. */
  readonly #waiting = new Set<net.Socket>();
  readonly #open = new Set<net.Socket>();

  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  /** Applies the limit to the connections of a server from now on. */
  watch(server: http.Server): void {
    server.on("connection", (socket) => this.#admit(socket));
    server.on("request", (req, res) => this.#follow(req, res));
  }

  /** Closes all connections that wait for their callers. */
  closeWaiting(): void {
    for (const socket of [...this.#waiting]) this.#close(socket);
  }

  #admit(socket: net.Socket): void {
    if (this.#open.size >= this.#maxConnections) {
      const [longestWaiting = socket] = this.#waiting;
      this.#close(longestWaiting);
      if (longestWaiting === socket) return;
    }
    this.#open.add(socket);
    this.#waiting.add(socket);
    socket.once("close", () => this.#forget(socket));
  }

  #follow(req: http.IncomingMessage, res: http.ServerResponse): void {
    const { socket } = req;
    this.#waiting.delete(socket);
    if (hasBody(req)) {
      this.#wait(socket);
      req.once("end", () => this.#waiting.delete(socket));
    }
    res.once("close", () => this.#wait(socket));
  }

  #wait(socket: net.Socket): void {
    if (this.#open.has(socket)) this.#waiting.add(socket);
  }

  #close(socket: net.Socket): void {
    this.#forget(socket);
    socket.destroy();
  }

  #forget(socket: net.Socket): void {
    this.#open.delete(socket);
    this.#waiting.delete(socket);
  }
}

function hasBody({ headers }: http.IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
