/**
 * Guards against links that go silent without being closed, as when a network drops
 * packets: requests would fail until the operating system closes the connection.
 * Runs over real sockets.
 */
import * as Adapters from "@cairngate/adapters";
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as Ws from "ws";
import * as vitest from "vitest";
import * as frames from "./frames.ts";
import * as servers from "./peer_server.ts";
import * as stores from "./ws_store_peers.ts";

const READ = { kind: Ports.StoreCallKind.Read, keys: ["a/1"] } as const;
const DONE: Ports.StoreReply = { outcome: Ports.StoreOutcome.Done, value: [] };
const clock = new Adapters.SystemClock();

/** Cleanups of the current test, run in reverse order. */
const cleanups: (() => unknown)[] = [];

vitest.afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) await close();
});

async function createPeers(self: string, metrics = new Metrics.Metrics()) {
  const address = await TestUtils.findFreeAddress();
  const peers = new stores.WsStorePeers({
    self,
    address,
    clock,
    random: new Adapters.SystemRandom(),
    log: Logger.silentLogger(),
    metrics,
  });
  cleanups.push(() => Effect.runPromise(peers.close()));
  return { peers, address };
}

/** Creates a box that calls another one through a proxy. */
async function createPair(answer: () => Effect.Effect<Ports.StoreReply>) {
  const answering = await createPeers("box-2");
  await Effect.runPromise(answering.peers.listen(answer));
  const proxy = new TestUtils.SilentProxy(answering.address);
  cleanups.push(() => proxy.stop());
  const address = await proxy.start();
  const metrics = new Metrics.Metrics();
  const { peers } = await createPeers("box-1", metrics);
  const call = (timeoutMs = 1000) =>
    Effect.runPromise(
      Effect.result(peers.call({ node: "box-2", address }, READ, timeoutMs)),
    );
  return { proxy, call, metrics };
}

const sleep = (ms: number) => Effect.runPromise(clock.sleep(ms));

vitest.describe("a link that goes silent", () => {
  for (const direction of ["both", "to-server", "to-client"] as const) {
    vitest.it(`answers again within 3 s (silent: ${direction})`, async () => {
      const { proxy, call, metrics } = await createPair(() =>
        Effect.succeed(DONE)
      );
      vitest.expect((await call())._tag).toBe("Success");
      proxy.silence(direction);
      const startedAtMs = performance.now();
      while ((await call())._tag === "Failure") {
        vitest.expect(performance.now() - startedAtMs).toBeLessThan(3000);
      }
      vitest.expect(performance.now() - startedAtMs).toBeLessThan(3000);
      const kind = "peer";
      vitest.expect(metrics.get("cairngate_connections_silent_total", { kind }))
        .toBe(1);
      vitest.expect(proxy.opened).toBe(2);
    });
  }

  vitest.it("is kept while the peer is only slow", async () => {
    const { proxy, call } = await createPair(() =>
      Effect.as(clock.sleep(1500), DONE)
    );
    vitest.expect((await call(2500))._tag).toBe("Success");
    vitest.expect((await call(2500))._tag).toBe("Success");
    vitest.expect(proxy.opened).toBe(1);
  });
});

vitest.describe("a link that a peer has opened", () => {
  const CHECK_INTERVAL_MS = 100;

  async function listen(reply: unknown) {
    const metrics = new Metrics.Metrics();
    const server = new servers.PeerServer({
      log: Logger.silentLogger(),
      metrics,
      checkIntervalMs: CHECK_INTERVAL_MS,
    });
    const address = await TestUtils.findFreeAddress();
    await Effect.runPromise(
      server.listen(address, () => Effect.succeed(reply)),
    );
    cleanups.push(() => server.close());
    const kind = "accepted";
    const silentCount = () =>
      metrics.get("cairngate_connections_silent_total", { kind });
    return { address, silentCount };
  }

  function open(address: string): Promise<Ws.WebSocket> {
    const socket = new Ws.WebSocket(`ws://${address}`);
    socket.on("error", () => {});
    cleanups.push(() => socket.terminate());
    return new Promise((resolve) => socket.once("open", () => resolve(socket)));
  }

  vitest.it("is closed when the peer is gone without closing it", async () => {
    const { address, silentCount } = await listen({});
    const proxy = new TestUtils.SilentProxy(address);
    cleanups.push(() => proxy.stop());
    await open(await proxy.start());
    await sleep(CHECK_INTERVAL_MS * 4);
    vitest.expect(silentCount()).toBe(0);
    proxy.silence();
    await sleep(CHECK_INTERVAL_MS * 4);
    vitest.expect(silentCount()).toBe(1);
  });

  vitest.it("is closed when its replies are not read", async () => {
    const { address, silentCount } = await listen({
      text: "x".repeat(1_000_000),
    });
    const socket = await open(address);
    // The client sends requests and reads no replies.
    socket.pause();
    const codec = new frames.FrameCodec();
    const closed = new Promise((resolve) => socket.once("close", resolve));
    for (let id = 1; id <= 40 && silentCount() === 0; id++) {
      const kind = frames.FrameKind.Request as const;
      socket.send(codec.encode({ kind, id, from: "box-1", req: READ }));
      await sleep(2);
    }
    vitest.expect(silentCount()).toBe(1);
    socket.resume();
    await closed;
  });
});
