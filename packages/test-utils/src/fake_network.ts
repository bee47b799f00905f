/** In-process network between boxes, whose links tests can cut. */
import * as Errors from "@cairngate/errors";
import * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";

/** Routes requests between the fake networks of all boxes. */
export class NetworkHub {
  readonly #handlers = new Map<string, Ports.PeerHandler>();
  readonly #cut = new Set<string>();
  readonly #gates = new Map<string, Effect.Effect<void>>();
  readonly names: readonly string[];
  readonly clock: Ports.Clock;

  constructor(names: readonly string[], clock: Ports.Clock) {
    this.names = names;
    this.clock = clock;
  }

  /** Sets the request handler of a box; null removes the box. */
  attach(box: string, handler: Ports.PeerHandler | null): void {
    if (handler === null) this.#handlers.delete(box);
    else this.#handlers.set(box, handler);
  }

  /** Sets an effect that a box completes before it handles a request. */
  setGate(box: string, gate: Effect.Effect<void>): void {
    this.#gates.set(box, gate);
  }

  /** Whether a box has a handler. */
  isAttached(box: string): boolean {
    return this.#handlers.has(box);
  }

  /** Cuts off a box from all others. */
  cut(box: string): void {
    this.#cut.add(box);
  }

  /** Reconnects a box. */
  heal(box: string): void {
    this.#cut.delete(box);
  }

  /** Delivers a request; a request over a cut link is never answered. */
  carry(
    from: string,
    to: string,
    req: Types.PeerRequest,
  ): ReturnType<Ports.PeerHandler> {
    if (this.#cut.has(from) || this.#cut.has(to)) return Effect.never;
    const handler = this.#handlers.get(to);
    if (handler === undefined) return Effect.never;
    // A copy, as on a real link, so that the boxes share no objects.
    const gate = this.#gates.get(to) ?? Effect.void;
    return Effect.andThen(gate, handler(from, structuredClone(req)));
  }
}

/** Network of one box, connected to the hub. */
export class FakeNetwork extends Ports.PeerNetwork {
  readonly #self: string;
  readonly #hub: NetworkHub;

  constructor(self: string, hub: NetworkHub) {
    super();
    this.#self = self;
    this.#hub = hub;
  }

  override peers(): readonly string[] {
    return this.#hub.names.filter((name) => name !== this.#self);
  }

  override listen(handler: Ports.PeerHandler): Effect.Effect<void> {
    return Effect.sync(() => this.#hub.attach(this.#self, handler));
  }

  override isOpen(box: string): boolean {
    return this.#hub.isAttached(box);
  }

  override notify(box: string, req: Types.PeerRequest): void {
    Effect.runFork(Effect.ignore(this.#hub.carry(this.#self, box, req)));
  }

  override request(box: string, req: Types.PeerRequest, timeoutMs: number) {
    const carried = this.#hub.carry(this.#self, box, req);
    const timed = this.#hub.clock.within(timeoutMs, carried);
    return Effect.flatMap(timed, (reply) => {
      if (reply !== null) return Effect.succeed(reply.value);
      const cause = "no reply in time";
      return Effect.fail(new Errors.PeerUnreachableError({ box, cause }));
    });
  }

  override close(): Effect.Effect<void> {
    return Effect.sync(() => this.#hub.attach(this.#self, null));
  }
}
