/** Kept connections of one caller, in lanes, and what is known of each of them. */
import * as http from "node:http";
import type * as net from "node:net";
import * as addresses from "./address.ts";
import type * as calls from "./http_call.ts";

/** Told of the bytes on the wire, headers included, after each answer. */
export type TrafficListener = (
  sentBytes: number,
  receivedBytes: number,
) => void;

/** How connections are kept. */
export interface ConnectionPoolOptions {
  /** Most connections to one address. */
  readonly connections: number;
  readonly onTraffic?: TrafficListener | null;
  /** Told of each connection that is opened. */
  readonly onOpened?: () => void;
}

/** What is known of one connection. */
export interface ConnectionState {
  readonly openedAtMs: number;
  receivedAtMs: number;
  /** Bytes that the listener was told of. */
  reported: { sent: number; received: number };
  /** Who has answered on it last; null: nobody has said. */
  responder: string | null;
}

/**
 * Idle connections are closed before the usual 5 s of servers: a request sent
 * just as the server closes the connection would be lost, and nobody could
 * tell whether it was carried out.
 */
const IDLE_TIMEOUT_MS = 4000;

/** Keeps the connections of each lane apart. */
class LaneAgent extends http.Agent {
  override getName(options: http.RequestOptions & LaneOptions = {}) {
    return `${super.getName(options)}:${options.lane ?? ""}`;
  }
}

interface LaneOptions {
  readonly lane?: string | undefined;
}

/** Connections of one caller. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #agent: LaneAgent;
  readonly #connections = new WeakMap<net.Socket, ConnectionState>();
  /** Lanes that calls have had; few words, the same for all addresses. */
  readonly #lanes = new Set<string | undefined>([undefined]);
  /** Addresses whose suspect connections are being closed in this turn. */
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

  /** Opens a request over one of them. */
  request(address: string, call: calls.HttpCall): http.ClientRequest {
    const { host, port } = addresses.parseAddress(address);
    const { method, path, lane } = call;
    this.#lanes.add(lane);
    const headers = { "content-type": "application/json", ...call.headers };
    const agent = call.onNewConnection === true ? false : this.#agent;
    const options = { host, port, method, path, headers, agent, lane };
    return http.request(options);
  }

  /** What is known of a connection. */
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

  /** An answer has come, whole: its bytes are told of. */
  reportTraffic(socket: net.Socket, connection: ConnectionState): void {
    const listener = this.#options.onTraffic ?? null;
    if (listener === null) return;
    const { bytesWritten: sent, bytesRead: received } = socket;
    const { reported } = connection;
    connection.reported = { sent, received };
    listener(sent - reported.sent, received - reported.received);
  }

  /** Whether connections to an address are closed, and still in the pool. */
  isClosing(address: string): boolean {
    return this.#closing.has(address);
  }

  /** Closes idle connections that were not heard since; returns how many. */
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

  /** Closes idle connections that lead to others than whom a call is for. */
  closeOthers(address: string, { lane, onlyTo }: calls.HttpCall): void {
    const others = this.#idleSockets(address, lane).filter((socket) =>
      this.stateOf(socket).responder !== onlyTo
    );
    this.#close(address, others);
  }

  /** Whether the connection that will be taken leads to whom the call is for. */
  canReachResponder(
    address: string,
    { lane, onlyTo }: calls.HttpCall,
  ): boolean {
    if (onlyTo === undefined) return true;
    const idle = this.#idleSockets(address, lane);
    return idle.length > 0 &&
      idle.every((socket) => this.stateOf(socket).responder === onlyTo);
  }

  /** Idle connections of a lane. */
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
