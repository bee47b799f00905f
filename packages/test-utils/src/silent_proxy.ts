/**
 * A loopback proxy whose open connections can be silenced for good, while new ones
 * work. Nothing is reset, so neither side gets an error.
 */
import * as net from "node:net";

/** Direction in which bytes are dropped. */
export type SilentTraffic = "both" | "to-server" | "to-client";

/** One connection through the proxy. */
interface SocketPair {
  readonly client: net.Socket;
  readonly server: net.Socket;
  /** Direction in which bytes are dropped; null while all pass. */
  silent: SilentTraffic | null;
}

/** Forwards connections to one server. */
export class SilentProxy {
  readonly #pairs = new Set<SocketPair>();
  readonly #listener: net.Server;
  #opened = 0;
  /** Bytes to the server that were dropped. */
  droppedBytes = 0;

  /** @param target address of the server, as host:port */
  constructor(target: string) {
    const { hostname: host, port } = new URL(`http://${target}`);
    this.#listener = net.createServer((client) => {
      this.#opened++;
      this.#connect(client, net.connect({ host, port: Number(port) }));
    });
  }

  /** Number of connections opened so far. */
  get opened(): number {
    return this.#opened;
  }

  /** Starts the proxy; returns its address as host:port. */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#listener.listen(0, "127.0.0.1", () => {
        const { port } = this.#listener.address() as net.AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Silences all open connections; returns their number. */
  silence(traffic: SilentTraffic = "both"): number {
    for (const pair of this.#pairs) pair.silent = traffic;
    return this.#pairs.size;
  }

  /** Closes the proxy and all of its connections. */
  stop(): void {
    this.#listener.close();
    for (const { client, server } of this.#pairs) {
      client.destroy();
      server.destroy();
    }
  }

  #connect(client: net.Socket, server: net.Socket): void {
    const pair: SocketPair = { client, server, silent: null };
    this.#pairs.add(pair);
    client.on("data", (bytes) => {
      if (isSilent(pair, "to-server")) this.droppedBytes += bytes.length;
      else server.write(bytes);
    });
    server.on("data", (bytes) => {
      if (!isSilent(pair, "to-client")) client.write(bytes);
    });
    const removeIfClosed = () => {
      if (client.destroyed && server.destroyed) this.#pairs.delete(pair);
    };
    // A silent connection does not forward the close of the other side either.
    client.on("close", () => {
      if (!isSilent(pair, "to-server")) server.destroy();
      removeIfClosed();
    });
    server.on("close", () => {
      if (!isSilent(pair, "to-client")) client.destroy();
      removeIfClosed();
    });
    for (const socket of [client, server]) socket.on("error", () => {});
  }
}

function isSilent(
  { silent }: SocketPair,
  traffic: SilentTraffic,
): boolean {
  return silent === "both" || silent === traffic;
}
