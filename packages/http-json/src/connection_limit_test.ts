/** Connections that hold all places of a server do not keep out other callers. */
import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as connectionLimits from "./connection_limit.ts";

const MAX_CONNECTIONS = 10;
const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const UNFINISHED = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{";

let server: http.Server;
/** Responses that are held back; null to send each at once. */
let held: http.ServerResponse[] | null = null;

vitest.beforeEach(async () => {
  held = null;
  server = http.createServer((req, res) => {
    req.on("error", () => {});
    req.resume();
    req.on("end", () => held === null ? res.end() : held.push(res));
  });
  new connectionLimits.ConnectionLimit(MAX_CONNECTIONS).watch(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

vitest.afterEach(() => {
  server.close();
  server.closeAllConnections();
});

/** Opens a connection that sends a text; resolves once the server has it. */
async function connect(text: string): Promise<net.Socket> {
  const { port } = server.address() as net.AddressInfo;
  const accepted = new Promise((resolve) => server.once("connection", resolve));
  const socket = net.connect({ host: "127.0.0.1", port });
  socket.on("error", () => {});
  socket.write(text);
  await accepted;
  return socket;
}

/** Whether an ordinary request is answered. */
async function isServed(): Promise<boolean> {
  const socket = await connect(REQUEST);
  return new Promise((resolve) => {
    socket.once("data", (data) => resolve(String(data).includes(" 200 ")));
    socket.once("close", () => resolve(false));
  });
}

vitest.describe("a caller is served beside", () => {
  for (
    const [what, text] of [
      ["silent connections", ""],
      ["unfinished heads", "GET / HT"],
      ["unfinished bodies", UNFINISHED],
      ["idle connections", REQUEST],
    ]
  ) {
    vitest.it(`${what} that hold all places`, async () => {
      for (let i = 0; i < 2 * MAX_CONNECTIONS; i++) await connect(text);
      vitest.expect(await isServed()).toBe(true);
    });
  }
});

vitest.describe("a connection above the limit", () => {
  vitest.it("closes the one that waits for the longest", async () => {
    const sockets: net.Socket[] = [];
    for (let i = 0; i < MAX_CONNECTIONS; i++) sockets.push(await connect(""));
    const closed = new Promise((resolve) => sockets[1].once("close", resolve));
    const answered = new Promise((resolve) => sockets[0].once("data", resolve));
    sockets[0].write(REQUEST);
    await answered;
    await connect("");
    sockets[1].resume();
    await closed;
    vitest.expect(sockets[0].destroyed).toBe(false);
  });

  vitest.it("never closes one whose request is carried out", async () => {
    const waiting: http.ServerResponse[] = held = [];
    const sockets: net.Socket[] = [];
    for (let i = 0; i < MAX_CONNECTIONS; i++) {
      sockets.push(await connect(REQUEST));
    }
    await vitest.vi.waitUntil(() => waiting.length === MAX_CONNECTIONS);
    const refused = await connect(REQUEST);
    refused.resume();
    await new Promise((resolve) => refused.once("close", resolve));
    const answers = sockets.map((socket) =>
      new Promise((resolve) => socket.once("data", resolve))
    );
    for (const res of waiting) res.end();
    await Promise.all(answers);
  });
});
