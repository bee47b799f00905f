import * as Adapters from "@cairngate/adapters";
import * as Errors from "@cairngate/errors";
import * as Logger from "@cairngate/logger";
import * as Metrics from "@cairngate/metrics";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as Ws from "ws";
import * as frames from "./frames.ts";
import * as networks from "./ws_peer_network.ts";

const { afterEach, describe, expect, test } = vitest;

const FIRST_PORT = 28_110;
const PEERS = ["a", "b"].map((name, i) => ({
  name,
  address: `127.0.0.1:${FIRST_PORT + i}`,
}));
const FETCH = { kind: Types.PeerKind.FetchConfig } as const;

let open: networks.WsPeerNetwork[] = [];

async function createNetwork(
  index: number,
  answer: (from: string) => Effect.Effect<unknown, Errors.NotOwnerError>,
) {
  const metrics = new Metrics.Metrics();
  const network = new networks.WsPeerNetwork({
    self: PEERS[index].name,
    address: PEERS[index].address,
    peers: PEERS,
    clock: new Adapters.SystemClock(),
    random: new Adapters.SystemRandom(),
    log: Logger.silentLogger(),
    metrics,
  });
  await Effect.runPromise(network.listen(answer));
  open.push(network);
  return { network, metrics };
}

/** Repeats a request until the link is open; returns its result. */
async function ask(network: networks.WsPeerNetwork, box: string) {
  for (let i = 0; i < 100; i++) {
    const reply = await Effect.runPromise(
      Effect.result(network.request(box, FETCH, 1000)),
    );
    const isOpen = reply._tag === "Success" ||
      reply.failure._tag !== "PeerUnreachableError";
    if (isOpen) return reply;
    await Effect.runPromise(Effect.sleep(20));
  }
  return null;
}

afterEach(async () => {
  for (const network of open) await Effect.runPromise(network.close());
  open = [];
});

describe("links between boxes", () => {
  test("carry requests, replies and typed failures", async () => {
    const { network } = await createNetwork(0, () => Effect.succeed("a"));
    await createNetwork(
      1,
      (from) => Effect.fail(new Errors.NotOwnerError({ cell: from, epoch: 3 })),
    );
    expect(await ask(network, "b")).toMatchObject({
      failure: { _tag: "NotOwnerError", cell: "a", epoch: 3 },
    });
  });

  test("open again after the peer has restarted", async () => {
    const { network } = await createNetwork(0, () => Effect.succeed(null));
    const first = await createNetwork(1, () => Effect.succeed("first"));
    expect(await ask(network, "b")).toMatchObject({ success: "first" });
    await Effect.runPromise(first.network.close());
    await createNetwork(1, () => Effect.succeed("second"));
    expect(await ask(network, "b")).toMatchObject({ success: "second" });
    expect(network.isOpen("b")).toBe(true);
    expect(network.isOpen("nobody")).toBe(false);
  });

  test("drop and count malformed messages", async () => {
    const { metrics } = await createNetwork(0, () => Effect.succeed(null));
    const socket = new Ws.WebSocket(`ws://${PEERS[0].address}`);
    await new Promise((resolve) => socket.once("open", resolve));
    socket.send(new Uint8Array([0xc1, 1, 2]));
    for (let i = 0; i < 100; i++) {
      if (metrics.get("cairngate_peer_malformed_total") > 0) break;
      await Effect.runPromise(Effect.sleep(10));
    }
    expect(metrics.get("cairngate_peer_malformed_total")).toBe(1);
    socket.terminate();
  });
});

describe("frames", () => {
  test("of one kind carry their field names once", () => {
    const codec = new frames.FrameCodec();
    const kind = frames.FrameKind.Notice as const;
    const frame = { kind, from: "a", req: FETCH };
    const first = codec.encode(frame);
    const second = codec.encode(frame);
    expect(second.length).toBeLessThan(first.length);
    const reader = new frames.FrameCodec();
    expect(reader.decode(first, "a")).toEqual(frame);
    expect(reader.decode(second, "a")).toEqual(frame);
  });
});
