/** A processor that has time for one call after the other. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Processor of one box; calls wait for their turn in the order they come. */
export class BusyProcessor {
  readonly #clock: Ports.Clock;
  /** Time that each call takes, in ms; tests set it. */
  callMs = 0;
  /** Waits while the box stands still. */
  gate: Effect.Effect<void> = Effect.void;
  #freeAtMs = 0;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Time until a call that comes now has its turn and is over, in ms. */
  get delayMs(): number {
    const nowMs = this.#clock.monotonicMs();
    return Math.max(nowMs, this.#freeAtMs) + this.callMs - nowMs;
  }

  /** Works on one call. */
  use(): Effect.Effect<void> {
    return Effect.andThen(this.gate, this.#work());
  }

  #work(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.callMs === 0) return Effect.void;
      const { delayMs } = this;
      this.#freeAtMs = this.#clock.monotonicMs() + delayMs;
      return this.#clock.sleep(delayMs);
    });
  }
}
