/** The kept connections of one caller, in lanes, and the state of each. */
import * as http from "node:http";
import type * as net from "node:net";
import * as addresses from "./address.ts";
import type * as calls from "./http_call.ts";

/** Called after each response with the bytes on the wire, headers included. */
export type TrafficListener = (
  sentBytes: number,
  receivedBytes: number,
) => void;

/** Options of a ConnectionPool. */
export interface ConnectionPoolOptions {
  /** Maximum number of connections to one address. */
  readonly connections: number;
  readonly onTraffic?: TrafficListener | null;
  /** Called for each connection that is opened. */
  readonly onOpened?: () => void;
}

/** State of one connection. */
export interface ConnectionState {
  readonly openedAtMs: number;
  receivedAtMs: number;
  /** Bytes that were passed to the listener so far. */
  reported: { sent: number; received: number };
  /** The process that sent its last response; null where that is unknown. */
  responder: string | null;
}

/**
 * Idle connections are closed before servers close them, usually after 5 s. A
 * request that is sent just as the server closes the connection would be lost,
 * and it would be unknown whether it was carried out.
 */
const IDLE_TIMEOUT_MS = 4000;

/** Gives each lane connections of its own. */
class LaneAgent extends http.Agent {
  override getName(options: http.RequestOptions & LaneOptions = {}) {
    return `${super.getName(options)}:${options.lane ?? ""}`;
  }
}

interface LaneOptions {
  readonly lane?: string | undefined;
}

/** The connections of one caller, to all addresses. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #agent: LaneAgent;
  readonly #connections = new WeakMap<net.Socket, ConnectionState>();
  /** Lanes in use; they are few, and shared by all addresses. */
  readonly #lanes = new Set<string | undefined>([undefined]);
  /** Addresses with connections that were closed in this turn of the event loop. */
  readonly #closing = new Set<string>();

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    this.#agent = new LaneAgent({
      keepAlive: true,
      maxSockets: options.connections,
      timeout: IDLE_TIMEOUT_MS,
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  /** Starts a request over a kept or a new connection. */
  request(address: string, call: calls.HttpCall): http.ClientRequest {
    const { host, port } = addresses.parseAddress(address);
    const { method, path, lane } = call;
    this.#lanes.add(lane);
    const headers = { "content-type": "application/json", ...call.headers };
    const agent = call.onNewConnection === true ? false : this.#agent;
    const options = { host, port, method, path, headers, agent, lane };
    return http.request(options);
  }

  /** Returns the state of a connection; a new one is reported as opened. */
  stateOf(socket: net.Socket): ConnectionState {
    const existing = this.#connections.get(socket);
    if (existing !== undefined) return existing;
    const nowMs = performance.now();
    const reported = { sent: 0, received: 0 };
    const created = {
      openedAtMs: nowMs,
      receivedAtMs: nowMs,
      reported,
      responder: null,
    };
    this.#connections.set(socket, created);
    this.#options.onOpened?.();
    return created;
  }

  /** Passes the bytes since the last report to the listener. */
  reportTraffic(socket: net.Socket, connection: ConnectionState): void {
    const listener = this.#options.onTraffic ?? null;
    if (listener === null) return;
    const { bytesWritten: sent, bytesRead: received } = socket;
    const { reported } = connection;
    connection.reported = { sent, received };
    listener(sent - reported.sent, received - reported.received);
  }

  /** Whether closed connections to an address are still in the pool. */
  isClosing(address: string): boolean {
    return this.#closing.has(address);
  }

  /** Closes idle connections that have received nothing since; returns how many. */
  closeIdle(address: string, sinceMs: number): number {
    const idle = [...this.#lanes].flatMap((lane) =>
      this.#idleSockets(address, lane)
    );
    const suspects = idle.filter((socket) =>
      this.stateOf(socket).receivedAtMs < sinceMs
    );
    this.#close(address, suspects);
    return suspects.length;
  }

  /** Closes idle connections to other processes than the one a call is for. */
  closeOthers(address: string, { lane, onlyTo }: calls.HttpCall): void {
    const others = this.#idleSockets(address, lane).filter((socket) =>
      this.stateOf(socket).responder !== onlyTo
    );
    this.#close(address, others);
  }

  /** Whether the connection that will be used leads to the process of `onlyTo`. */
  canReachResponder(
    address: string,
    { lane, onlyTo }: calls.HttpCall,
  ): boolean {
    if (onlyTo === undefined) return true;
    const idle = this.#idleSockets(address, lane);
    return idle.length > 0 &&
      idle.every((socket) => this.stateOf(socket).responder === onlyTo);
  }

  /** Returns the idle connections of a lane to an address. */
  #idleSockets(address: string, lane: string | undefined): net.Socket[] {
    const { host, port } = addresses.parseAddress(address);
    const poolName = this.#agent.getName({ host, port, lane });
    const idle = this.#agent.freeSockets[poolName] ?? [];
    return idle.filter(({ destroyed }) => !destroyed);
  }

  #close(address: string, sockets: readonly net.Socket[]): void {
    if (sockets.length === 0) return;
    for (const socket of sockets) socket.destroy();
    this.#closing.add(address);
    setImmediate(() => this.#closing.delete(address));
  }
}
