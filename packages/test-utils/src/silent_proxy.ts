/**
 * A proxy on loopback whose open connections can be made silent for good, while
 * new ones work. Nothing is reset: neither side learns of it.
 */
import * as net from "node:net";

/** Which bytes are swallowed. */
export type SilentWay = "both" | "to-server" | "to-client";

/** One connection through the proxy. */
interface Pair {
  readonly client: net.Socket;
  readonly server: net.Socket;
  /** Bytes that are swallowed; null where all pass. */
  silent: SilentWay | null;
}

/** Passes connections on to one server. */
export class SilentProxy {
  readonly #pairs = new Set<Pair>();
  readonly #listener: net.Server;
  #opened = 0;
  /** Bytes that were swallowed on their way to the server. */
  swallowedBytes = 0;

  /** @param target where the server listens, as host:port */
  constructor(target: string) {
    const { hostname: host, port } = new URL(`http://${target}`);
    this.#listener = net.createServer((client) => {
      this.#opened++;
      this.#join(client, net.connect({ host, port: Number(port) }));
    });
  }

  /** Connections that were opened so far. */
  get opened(): number {
    return this.#opened;
  }

  /** Opens the proxy; returns its address. */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#listener.listen(0, "127.0.0.1", () => {
        const { port } = this.#listener.address() as net.AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Makes all connections that are open now silent; returns how many. */
  silence(way: SilentWay = "both"): number {
    for (const pair of this.#pairs) pair.silent = way;
    return this.#pairs.size;
  }

  /** Ends everything. */
  stop(): void {
    this.#listener.close();
    for (const { client, server } of this.#pairs) {
      client.destroy();
      server.destroy();
    }
  }

  #join(client: net.Socket, server: net.Socket): void {
    const pair: Pair = { client, server, silent: null };
    this.#pairs.add(pair);
    client.on("data", (bytes) => {
      if (swallows(pair, "to-server")) this.swallowedBytes += bytes.length;
      else server.write(bytes);
    });
    server.on("data", (bytes) => {
      if (!swallows(pair, "to-client")) client.write(bytes);
    });
    const forget = () => {
      if (client.destroyed && server.destroyed) this.#pairs.delete(pair);
    };
    // A silent connection does not tell that the other side has gone either.
    client.on("close", () => {
      if (!swallows(pair, "to-server")) server.destroy();
      forget();
    });
    server.on("close", () => {
      if (!swallows(pair, "to-client")) client.destroy();
      forget();
    });
    for (const socket of [client, server]) socket.on("error", () => {});
  }
}

function swallows({ silent }: Pair, way: SilentWay): boolean {
  return silent === "both" || silent === way;
}
