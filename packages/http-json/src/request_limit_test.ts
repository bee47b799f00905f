/** Requests under way are bounded, on a connection and on a server as a whole. */
import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as requestLimits from "./request_limit.ts";
import * as sending from "./send.ts";

const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
/** A request of which one read holds at most 64. */
const LONG_REQUEST = REQUEST.replace("host", `x: ${"x".repeat(1024)}\r\nhost`);

/** A server that carries out requests only when the test says so. */
class HoldingServer {
  readonly limit: requestLimits.RequestLimit;
  readonly #held: (() => void)[] = [];
  readonly #server: http.Server;
  mostHeld = 0;

  constructor(limits: requestLimits.RequestLimits) {
    this.limit = new requestLimits.RequestLimit(limits);
    this.#server = http.createServer((req, res) => {
      const slot = this.limit.begin(req, res);
      if (slot === null) return sending.sendText(res, 503, "");
      this.#held.push(() => {
        sending.sendText(res, 200, "");
        slot.end();
      });
      this.mostHeld = Math.max(this.mostHeld, this.#held.length);
    });
  }

  start(): Promise<void> {
    return new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get held(): number {
    return this.#held.length;
  }

  /** Carries out the requests that are held. */
  carryOut(): void {
    for (const finish of this.#held.splice(0)) finish();
  }

  connect(): Connection {
    const { port } = this.#server.address() as net.AddressInfo;
    return new Connection(net.connect({ host: "127.0.0.1", port }));
  }
}

class Connection {
  received = "";
  isClosed = false;

  constructor(readonly socket: net.Socket) {
    socket.on("data", (chunk) => (this.received += String(chunk)));
    socket.on("error", () => {});
    socket.on("close", () => (this.isClosed = true));
  }

  count(status: number): number {
    return this.received.split(`HTTP/1.1 ${status} `).length - 1;
  }
}

let server: HoldingServer;

async function start(limits: requestLimits.RequestLimits): Promise<void> {
  server = new HoldingServer(limits);
  await server.start();
}

vitest.afterEach(() => server.stop());

const until = (condition: () => boolean) =>
  vitest.vi.waitUntil(condition, { timeout: 20_000, interval: 5 });

vitest.describe("requests that are sent ahead", () => {
  vitest.it("are all answered while their connection is paused", async () => {
    await start({ requests: 1000, requestsAhead: 1000 });
    const connection = server.connect();
    for (let i = 0; i < 40; i++) {
      connection.socket.write(LONG_REQUEST.repeat(10));
      await new Promise((resolve) => setTimeout(resolve, 2));
    }
    await until(() => {
      server.carryOut();
      return connection.count(200) === 400;
    });
    vitest.expect(server.limit.requests).toBe(0);
  });

  vitest.it("do not make a server read a connection without end", async () => {
    await start({ requests: 1000, requestsAhead: 1000 });
    const connection = server.connect();
    for (let i = 0; i < 40; i++) {
      connection.socket.write(LONG_REQUEST.repeat(10));
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    vitest.expect(server.held).toBeLessThan(128);
    vitest.expect(connection.isClosed).toBe(false);
  });

  vitest.it("close their connection if they are too many", async () => {
    await start({ requests: 1000, requestsAhead: 1000 });
    const connection = server.connect();
    connection.socket.write(REQUEST.repeat(500));
    await until(() => connection.isClosed);
    vitest.expect(server.mostHeld).toBe(128);
    // A request counts until it has been carried out, though its caller has gone.
    vitest.expect(server.limit.requests).toBe(128);
    server.carryOut();
    vitest.expect(server.limit.requests).toBe(0);
  });

  vitest.it(
    "do not count any more once their connection is closed",
    async () => {
      await start({ requests: 1000, requestsAhead: 1000 });
      const connection = server.connect();
      connection.socket.write(LONG_REQUEST.repeat(10));
      await until(() => server.held === 10);
      connection.socket.pause();
      server.carryOut();
      connection.socket.destroy();
      await until(() => server.limit.requests === 0);
    },
  );

  vitest.it("leave room for callers that send one at a time", async () => {
    await start({ requests: 10, requestsAhead: 4 });
    const first = server.connect();
    first.socket.write(REQUEST.repeat(6));
    await until(() => first.isClosed);
    const second = server.connect();
    second.socket.write(REQUEST);
    await until(() => server.held === 6);
    server.carryOut();
    await until(() => second.count(200) === 1);
  });
});

vitest.describe("a request to a server that is full", () => {
  vitest.it("is refused, and later ones are served", async () => {
    await start({ requests: 2, requestsAhead: 1 });
    const connections = [1, 2, 3].map(() => server.connect());
    const [first, second, third] = connections;
    first.socket.write(REQUEST);
    second.socket.write(REQUEST);
    await until(() => server.held === 2);
    third.socket.write(REQUEST);
    await until(() => third.count(503) === 1);
    server.carryOut();
    await until(() => server.limit.requests === 0);
    third.socket.write(REQUEST);
    await until(() => server.held === 1);
    server.carryOut();
    await until(() => third.count(200) === 1);
  });
});
