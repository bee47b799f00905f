/** Bodies are refused as early as possible, and the caller gets the response. */
import * as Effect from "effect/Effect";
import * as fc from "fast-check";
import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as buffers from "./body_buffer.ts";
import * as reading from "./read_json_body.ts";
import * as sending from "./send.ts";

const LIMIT_BYTES = 100_000;
const IDLE_MS = 2000;
/** Pause between two pieces of a slow body, in ms. */
const PIECE_PAUSE_MS = 400;
const server = http.createServer((req, res) => {
  if (req.url === "/early") return sending.sendJson(res, 401, { body: {} });
  Effect.runFork(
    Effect.match(
      reading.readJsonBody(req, { limitBytes: LIMIT_BYTES, idleMs: IDLE_MS }),
      {
        onSuccess: (body) => sending.sendJson(res, 200, { body }),
        onFailure: ({ _tag, message }) => {
          const status = _tag === "StalledBodyError" ? 408 : 413;
          sending.sendJson(res, status, { body: message });
        },
      },
    ),
  );
});

vitest.beforeAll(() =>
  new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
);
vitest.afterAll(() => {
  server.close();
  server.closeAllConnections();
});

/** Sends texts on one connection; returns all that came back until it was closed. */
function exchange(...texts: readonly string[]): Promise<string> {
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect({ host: "127.0.0.1", port });
  let received = "";
  socket.on("data", (chunk) => (received += String(chunk)));
  socket.on("error", (err) => (received += `(${err.message})`));
  for (const text of texts) socket.write(text);
  return new Promise((resolve) => {
    socket.once("close", () => resolve(received));
  });
}

const HEAD = "POST / HTTP/1.1\r\nhost: a\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;

vitest.describe("a body that is too large", () => {
  vitest.it("is refused by its length before any of it arrives", async () => {
    const received = await exchange(`${HEAD}content-length: 200000\r\n\r\n`);
    vitest.expect(received).toMatch(/^HTTP\/1.1 413 .*connection: close/is);
  });

  vitest.it("is refused at the limit though it never ends", async () => {
    const chunk = `4000\r\n${"x".repeat(16_384)}\r\n`;
    const received = await exchange(CHUNKED, chunk.repeat(7));
    vitest.expect(received).toMatch(/^HTTP\/1.1 413 /);
  });

  vitest.it("is refused with a response that its sender can read", async () => {
    const chunk = `4000\r\n${"x".repeat(16_384)}\r\n`;
    const received = await exchange(CHUNKED, chunk.repeat(50), "0\r\n\r\n");
    vitest.expect(received).toMatch(/^HTTP\/1.1 413 /);
    vitest.expect(received).not.toContain("ECONNRESET");
  });
});

vitest.describe("a body that arrives slowly", () => {
  vitest.it("is given up once nothing of it arrives", async () => {
    const received = await exchange(`${HEAD}content-length: 9\r\n\r\n{`);
    vitest.expect(received).toMatch(/^HTTP\/1.1 408 /);
  });

  vitest.it("is read to its end while some of it arrives", async () => {
    const { port } = server.address() as net.AddressInfo;
    const options = { host: "127.0.0.1", port, method: "POST", agent: false };
    const status = await new Promise((resolve, reject) => {
      const req = http.request(options, (res) => {
        res.resume();
        resolve(res.statusCode);
      });
      req.on("error", reject);
      const pieces = ["[", ..."1,".repeat(4), "1]"];
      const timer = setInterval(() => {
        const piece = pieces.shift();
        if (piece !== undefined) return req.write(piece);
        clearInterval(timer);
        req.end();
      }, PIECE_PAUSE_MS);
    });
    vitest.expect(status).toBe(200);
  });
});

vitest.describe("an early response", () => {
  vitest.it("closes its connection if the body never arrives", async () => {
    const received = await exchange(
      `GET /early HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n`,
    );
    vitest.expect(received).toMatch(/^HTTP\/1.1 401 /);
  });

  vitest.it("leaves its connection open if the body arrives", async () => {
    const early = "GET /early HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n";
    const last = `${HEAD}connection: close\r\ncontent-length: 2\r\n\r\n{}`;
    const received = await exchange(early, "{}", last);
    vitest.expect(received).toMatch(/^HTTP\/1.1 401 .*HTTP\/1.1 200 /s);
  });
});

vitest.describe("a body within the limit", () => {
  vitest.it("leaves its connection open for the next request", async () => {
    const text = `${HEAD}content-length: 2\r\n\r\n{}`;
    const last = `${HEAD}connection: close\r\ncontent-length: 2\r\n\r\n{}`;
    const received = await exchange(text, last);
    vitest.expect(received.match(/HTTP\/1.1 200/g)).toHaveLength(2);
  });

  vitest.it("is the concatenation of its chunks", () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 9000 }));
    fc.assert(fc.property(chunks, fc.nat(20_000), (parts, maxBytes) => {
      const all = Buffer.concat(parts);
      const body = new buffers.BodyBuffer(maxBytes);
      const isTaken = parts.every((part) => body.append(part));
      vitest.expect(isTaken).toBe(all.length <= maxBytes);
      if (!isTaken) return;
      vitest.expect(body.decode()).toBe(new TextDecoder().decode(all));
    }));
  });
});
