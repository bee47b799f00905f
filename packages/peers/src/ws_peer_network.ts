/** All links of a box: one to each peer, and those accepted from peers. */
import * as Errors from "@cairngate/errors";
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as links from "./peer_link.ts";
import * as servers from "./peer_server.ts";

/** Dependencies and addresses of the network. */
export interface WsPeerNetworkOptions {
  readonly self: string;
  readonly address: string;
  readonly peers: readonly { name: string; address: string }[];
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** Peer network over WebSocket. */
export class WsPeerNetwork extends Ports.PeerNetwork {
  readonly #options: WsPeerNetworkOptions;
  readonly #links = new Map<string, links.PeerLink>();
  readonly #fibers: Fiber.Fiber<never>[] = [];
  readonly #server: servers.PeerServer;

  constructor(options: WsPeerNetworkOptions) {
    super();
    this.#options = options;
    this.#server = new servers.PeerServer(options);
    for (const { name, address } of options.peers) {
      if (name === options.self) continue;
      const link = new links.PeerLink({ ...options, peer: name, address });
      this.#links.set(name, link);
    }
  }

  override peers(): readonly string[] {
    return [...this.#links.keys()];
  }

  override listen(
    handler: Ports.PeerHandler,
  ): Effect.Effect<void, Errors.ListenError> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#server.listen(
        this.#options.address,
        (from, req) => handler(from, req as Types.PeerRequest),
      );
      for (const link of this.#links.values()) {
        this.#fibers.push(Effect.runFork(link.run()));
      }
    });
  }

  override isOpen(box: string): boolean {
    return this.#links.get(box)?.isOpen ?? false;
  }

  override notify(box: string, req: Types.PeerRequest): void {
    this.#links.get(box)?.notify(req);
  }

  override request(box: string, req: Types.PeerRequest, timeoutMs: number) {
    const link = this.#links.get(box);
    if (link !== undefined) return link.request(req, timeoutMs);
    const cause = "not a peer of this box";
    return Effect.fail(new Errors.PeerUnreachableError({ box, cause }));
  }

  override close(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Fiber.interruptAll(this.#fibers);
      this.#server.close();
    });
  }
}
