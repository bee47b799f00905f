/** Processor model that works on one call at a time. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Processor of one box; calls are processed in the order of their arrival. */
export class BusyProcessor {
  readonly #clock: Ports.Clock;
  /** Processing time of each call, in ms; tests set it. */
  callMs = 0;
  /** Blocks calls while the box is suspended. */
  gate: Effect.Effect<void> = Effect.void;
  #freeAtMs = 0;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Time until a call that arrives now is processed, in ms. */
  get delayMs(): number {
    const nowMs = this.#clock.monotonicMs();
    return Math.max(nowMs, this.#freeAtMs) + this.callMs - nowMs;
  }

  /** Waits for the processor and processes one call. */
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
