/** Token bucket that limits the writes of one box; further writes wait. */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as storeErrors from "./store_errors.ts";

/** Size of the largest burst, in seconds of the budget. */
const BURST_SECONDS = 1;

/** Write budget of one box. */
export class WriteBudget {
  readonly #clock: Ports.Clock;
  readonly #writesPerSecond: number;
  #tokens: number;
  #refilledAtMs: number;

  constructor(clock: Ports.Clock, writesPerSecond: number) {
    this.#clock = clock;
    this.#writesPerSecond = writesPerSecond;
    this.#tokens = writesPerSecond * BURST_SECONDS;
    this.#refilledAtMs = clock.monotonicMs();
  }

  /** Waits for a token; fails at once where the wait would pass `endMs`. */
  take(endMs: number): Effect.Effect<void, storeErrors.StoreFailure> {
    const nowMs = this.#clock.monotonicMs();
    const refilled = (nowMs - this.#refilledAtMs) / 1000 *
      this.#writesPerSecond;
    const maxTokens = this.#writesPerSecond * BURST_SECONDS;
    this.#tokens = Math.min(maxTokens, this.#tokens + refilled) - 1;
    this.#refilledAtMs = nowMs;
    if (this.#tokens >= 0) return Effect.void;
    const waitMs = -this.#tokens / this.#writesPerSecond * 1000;
    if (nowMs + waitMs <= endMs) return this.#clock.sleep(waitMs);
    this.#tokens++;
    const cause = "the write budget of this box is exhausted";
    return storeErrors.unavailable("write", cause);
  }
}
