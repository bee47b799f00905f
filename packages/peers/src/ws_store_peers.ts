/** Links for relayed calls to the store; opened on demand and closed when idle. */
import type * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as links from "./peer_link.ts";
import * as servers from "./peer_server.ts";

/** Dependencies and addresses of the links. */
export interface WsStorePeersOptions {
  readonly self: string;
  /** Address on which links from peers are accepted, as host:port. */
  readonly address: string;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

interface OpenLink {
  readonly link: links.PeerLink;
  readonly fiber: Fiber.Fiber<never>;
  usedAtMs: number;
}

const OPEN_POLL_MS = 3;
const IDLE_TIMEOUT_MS = 30_000;
const IDLE_CHECK_INTERVAL_MS = 5000;

/** Links between boxes over WebSocket. */
export class WsStorePeers extends Ports.StorePeers {
  readonly #options: WsStorePeersOptions;
  readonly #server: servers.PeerServer;
  /** Open links by the peer's address. */
  readonly #links = new Map<string, OpenLink>();
  #sweeper: Fiber.Fiber<never> | null = null;

  constructor(options: WsStorePeersOptions) {
    super();
    this.#options = options;
    this.#server = new servers.PeerServer(options);
  }

  override listen(
    handler: (call: Ports.StoreCall) => Effect.Effect<Ports.StoreReply>,
  ): Effect.Effect<void, Errors.ListenError> {
    const { clock, address } = this.#options;
    const sweep = clock.every(IDLE_CHECK_INTERVAL_MS, this.#closeIdle());
    return Effect.andThen(
      this.#server.listen(
        address,
        (_, req) => handler(req as Ports.StoreCall),
      ),
      Effect.sync(() => {
        this.#sweeper = Effect.runFork(sweep);
      }),
    );
  }

  override call(
    peer: Ports.StorePeer,
    call: Ports.StoreCall,
    timeoutMs: number,
  ): Effect.Effect<Ports.StoreReply, Errors.PeerUnreachableError> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const endMs = clock.monotonicMs() + timeoutMs;
      const link = this.#linkTo(peer);
      while (!link.isOpen && clock.monotonicMs() < endMs) {
        yield* clock.sleep(OPEN_POLL_MS);
      }
      const leftMs = Math.max(1, endMs - clock.monotonicMs());
      return (yield* link.request(call, leftMs)) as Ports.StoreReply;
    }).pipe(
      // A peer of another version may reply with these failures.
      Effect.catchTags({
        NotOwnerError: () => Effect.succeed(REFUSED),
        NotReadyError: () => Effect.succeed(REFUSED),
      }),
    );
  }

  override close(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const fibers = [...this.#links.values()].map(({ fiber }) => fiber);
      if (this.#sweeper !== null) yield* Fiber.interrupt(this.#sweeper);
      yield* Fiber.interruptAll(fibers);
      this.#links.clear();
      this.#server.close();
    });
  }

  #linkTo({ node, address }: Ports.StorePeer): links.PeerLink {
    const nowMs = this.#options.clock.monotonicMs();
    const existing = this.#links.get(address);
    if (existing !== undefined) {
      existing.usedAtMs = nowMs;
      return existing.link;
    }
    const options = { ...this.#options, peer: node, address };
    const link = new links.PeerLink(options);
    const fiber = Effect.runFork(link.run());
    this.#links.set(address, { link, fiber, usedAtMs: nowMs });
    return link;
  }

  #closeIdle(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const cutoffMs = this.#options.clock.monotonicMs() - IDLE_TIMEOUT_MS;
      const idle = [...this.#links].filter(([, entry]) =>
        entry.usedAtMs < cutoffMs
      );
      for (const [address] of idle) this.#links.delete(address);
      return Fiber.interruptAll(idle.map(([, { fiber }]) => fiber));
    });
  }
}

const REFUSED: Ports.StoreReply = {
  outcome: Ports.StoreOutcome.Unavailable,
  value: "the peer refused the call",
};
