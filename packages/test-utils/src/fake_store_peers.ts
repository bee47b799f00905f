/** Links between the nodes of one test. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";

/** A silent link is given up after this time without a sign of life, in ms. */
const LINK_OVERDUE_MS = 1000;

type Handler = (call: Ports.StoreCall) => Effect.Effect<Ports.StoreReply>;

/** All nodes of a test by address. */
export class FakePeerHub {
  readonly #clock: Ports.Clock;
  readonly #handlers = new Map<string, Handler>();
  /** Links by their two ends. */
  readonly #links = new Map<string, StandIns.OpenConnections>();
  /** Whether a message gets from one address to another; tests replace it. */
  passes: (from: string, to: string) => boolean = () => true;
  /** Time that a call and its reply are on their way. */
  delayMs = 1;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** The links of one node. */
  linksOf(address: string): Ports.StorePeers {
    return new FakeStorePeers(this, address);
  }

  /** Opens or closes an address. */
  register(address: string, handler: Handler | null): void {
    if (handler === null) this.#handlers.delete(address);
    else this.#handlers.set(address, handler);
  }

  /** All open links turn silent; new ones work. */
  silenceOpen(): void {
    for (const link of this.#links.values()) link.silence();
  }

  #linkOf(from: string, to: string): StandIns.OpenConnections {
    const name = `${from}>${to}`;
    const known = this.#links.get(name);
    if (known !== undefined) return known;
    const made = new StandIns.OpenConnections(this.#clock, LINK_OVERDUE_MS);
    this.#links.set(name, made);
    return made;
  }

  /** Carries a call; silence where nothing passes. */
  carry(
    path: { from: string; to: string },
    call: Ports.StoreCall,
    timeoutMs: number,
  ): Effect.Effect<Ports.StoreReply, Errors.PeerUnreachableError> {
    const { from, to } = path;
    const fail = (cause: string) =>
      Effect.fail(new Errors.PeerUnreachableError({ box: to, cause }));
    const reply = Effect.gen({ self: this }, function* () {
      const way = this.#linkOf(from, to).begin();
      if (way.isSilent) return yield* Effect.never;
      yield* this.#clock.sleep(this.delayMs);
      if (!this.passes(from, to)) return yield* Effect.never;
      const handler = this.#handlers.get(to);
      if (handler === undefined) return yield* fail("nobody listens");
      const answer = yield* handler(structuredClone(call));
      const isLost = !this.passes(to, from) || !way.answers();
      if (isLost) return yield* Effect.never;
      return structuredClone(answer);
    });
    return Effect.flatMap(
      this.#clock.within(timeoutMs, reply),
      (timed) =>
        timed === null ? fail("no reply") : Effect.succeed(timed.value),
    );
  }
}

/** One node's links. */
class FakeStorePeers extends Ports.StorePeers {
  readonly #hub: FakePeerHub;
  readonly #address: string;

  constructor(hub: FakePeerHub, address: string) {
    super();
    this.#hub = hub;
    this.#address = address;
  }

  override listen(handler: Handler) {
    return Effect.sync(() => this.#hub.register(this.#address, handler));
  }

  override call(
    peer: Ports.StorePeer,
    call: Ports.StoreCall,
    timeoutMs: number,
  ) {
    const path = { from: this.#address, to: peer.address };
    return this.#hub.carry(path, call, timeoutMs);
  }

  override close() {
    return Effect.sync(() => this.#hub.register(this.#address, null));
  }
}
