/** Adapter of the clock port. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as performance from "node:perf_hooks";

/** Wall clock, monotonic clock and timers of the operating system. */
export class SystemClock extends Ports.Clock {
  override wallMs(): number {
    return Date.now();
  }

  override monotonicMs(): number {
    return performance.performance.now();
  }

  override sleep(ms: number): Effect.Effect<void> {
    return Effect.sleep(ms);
  }
}
