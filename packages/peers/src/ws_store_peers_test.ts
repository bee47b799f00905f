/** Relayed calls to the store over real sockets. */
import * as Adapters from "@cairngate/adapters";
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as net from "node:net";
import * as vitest from "vitest";
import * as stores from "./ws_store_peers.ts";

const READ = { kind: Ports.StoreCallKind.Read, keys: ["a/1"] } as const;

let open: stores.WsStorePeers[] = [];

async function createPeers(self: string) {
  const address = await TestUtils.findFreeAddress();
  const peers = new stores.WsStorePeers({
    self,
    address,
    clock: new Adapters.SystemClock(),
    random: new Adapters.SystemRandom(),
    log: Logger.silentLogger(),
    metrics: new Metrics.Metrics(),
  });
  open.push(peers);
  return { peers, member: { node: self, address } };
}

vitest.afterEach(async () => {
  for (const peers of open) await Effect.runPromise(peers.close());
  open = [];
});

vitest.describe("the address for links", () => {
  vitest.it("answers other requests and closes their connections", async () => {
    const { peers, member: { address } } = await createPeers("node-1");
    const done = Effect.succeed({ outcome: Ports.StoreOutcome.Done, value: 1 });
    await Effect.runPromise(peers.listen(() => done));
    const [host, port] = address.split(":");
    const socket = net.connect({ host, port: Number(port) });
    let received = "";
    socket.on("data", (chunk) => (received += String(chunk)));
    socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{");
    await new Promise((resolve) => socket.once("close", resolve));
    vitest.expect(received).toContain(" 426 ");
  });
});

vitest.describe("links for calls to the store", () => {
  vitest.it("carry a call and its reply", async () => {
    const caller = await createPeers("node-1");
    const answering = await createPeers("node-2");
    const calls: Ports.StoreCall[] = [];
    const reply = { outcome: Ports.StoreOutcome.Done, value: [{ key: "a/1" }] };
    await Effect.runPromise(answering.peers.listen((call) => {
      calls.push(call);
      return Effect.succeed(reply);
    }));
    const { member } = answering;
    for (let i = 0; i < 2; i++) {
      const received = await Effect.runPromise(
        caller.peers.call(member, READ, 2000),
      );
      vitest.expect(received).toEqual(reply);
    }
    vitest.expect(calls).toEqual([READ, READ]);
  });

  vitest.it("time out where no peer listens", async () => {
    const caller = await createPeers("node-1");
    const member = {
      node: "node-2",
      address: await TestUtils.findFreeAddress(),
    };
    const startedAtMs = performance.now();
    const result = await Effect.runPromise(
      Effect.result(caller.peers.call(member, READ, 200)),
    );
    vitest.expect(result).toMatchObject({
      failure: { _tag: "PeerUnreachableError", box: "node-2" },
    });
    vitest.expect(performance.now() - startedAtMs).toBeLessThan(1500);
  });
});

vitest.describe("a reply that can't be sent", () => {
  vitest.it("fails its own call at once and no later one", async () => {
    const caller = await createPeers("node-1");
    const { peers, member } = await createPeers("node-2");
    const nested = JSON.parse("[".repeat(30_000) + "]".repeat(30_000));
    const outcome = Ports.StoreOutcome.Done;
    const replies: unknown[] = [nested, { a: nested }, [{ key: "a/1" }]];
    await Effect.runPromise(
      peers.listen(() => Effect.succeed({ outcome, value: replies.shift() })),
    );
    const call = () => Effect.runPromise(caller.peers.call(member, READ, 5000));
    for (let i = 0; i < 2; i++) {
      vitest.expect(await call())
        .toMatchObject({ outcome: Ports.StoreOutcome.Unavailable });
    }
    vitest.expect(await call()).toEqual({ outcome, value: [{ key: "a/1" }] });
  });
});

vitest.describe("an address that is no URL", () => {
  for (const address of ["999.999.999.999:80", "[1]:80", "[::::]:80"]) {
    vitest.it(`fails a call like an absent peer (${address})`, async () => {
      const { peers } = await createPeers("node-1");
      const call = peers.call({ node: "node-2", address }, READ, 100);
      const result = await Effect.runPromise(Effect.result(call));
      vitest.expect(result).toMatchObject({
        failure: { _tag: "PeerUnreachableError", box: "node-2" },
      });
    });
  }
});
