/** In-process links between the boxes of one test. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import * as StandIns from "@cairngate/stand-ins";
import * as Effect from "effect/Effect";

/** Time without an answer after which a silent link is closed, in ms. */
const LINK_TIMEOUT_MS = 1000;

type Handler = (call: Ports.StoreCall) => Effect.Effect<Ports.StoreReply>;

/** Routes calls between the boxes of a test by address. */
export class FakePeerHub {
  readonly #clock: Ports.Clock;
  readonly #handlers = new Map<string, Handler>();
  /** Links by their two addresses. */
  readonly #links = new Map<string, StandIns.OpenConnections>();
  /** Whether one address can send to another; tests replace it. */
  isReachable: (from: string, to: string) => boolean = () => true;
  /** Time that a call takes to arrive, in ms; its reply takes none. */
  delayMs = 1;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Creates the links of one box. */
  peersOf(address: string): Ports.StorePeers {
    return new FakeStorePeers(this, address);
  }

  /** Sets the handler of an address; null closes the address. */
  register(address: string, handler: Handler | null): void {
    if (handler === null) this.#handlers.delete(address);
    else this.#handlers.set(address, handler);
  }

  /** Makes all open links silent; new ones work. */
  silenceConnections(): void {
    for (const link of this.#links.values()) link.silence();
  }

  #linkOf(from: string, to: string): StandIns.OpenConnections {
    const name = `${from}>${to}`;
    const existing = this.#links.get(name);
    if (existing !== undefined) return existing;
    const created = new StandIns.OpenConnections(this.#clock, LINK_TIMEOUT_MS);
    this.#links.set(name, created);
    return created;
  }

  /** Delivers a call; fails after the timeout if it or its reply is lost. */
  carry(
    path: { from: string; to: string },
    call: Ports.StoreCall,
    timeoutMs: number,
  ): Effect.Effect<Ports.StoreReply, Errors.PeerUnreachableError> {
    const { from, to } = path;
    const fail = (cause: string) =>
      Effect.fail(new Errors.PeerUnreachableError({ box: to, cause }));
    const reply = Effect.gen({ self: this }, function* () {
      const connection = this.#linkOf(from, to).begin();
      if (connection.isSilent) return yield* Effect.never;
      yield* this.#clock.sleep(this.delayMs);
      if (!this.isReachable(from, to)) return yield* Effect.never;
      const handler = this.#handlers.get(to);
      if (handler === undefined) return yield* fail("connection refused");
      const answer = yield* handler(structuredClone(call));
      const isLost = !this.isReachable(to, from) || !connection.canBeAnswered();
      if (isLost) return yield* Effect.never;
      return structuredClone(answer);
    });
    return Effect.flatMap(
      this.#clock.within(timeoutMs, reply),
      (result) =>
        result === null
          ? fail("no reply in time")
          : Effect.succeed(result.value),
    );
  }
}

/** Links of one box. */
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
