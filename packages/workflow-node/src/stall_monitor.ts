/** Reports when this box has stood still: its process was stopped or had no processor. */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Dependencies of a {@link StallMonitor}. */
export interface StallMonitorOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** Interval between two checks, in ms. */
const CHECK_INTERVAL_MS = 250;
/** Delay of a check that counts as a stall, in ms; other boxes may take over by then. */
const MIN_STALL_MS = 500;

/** Measures how late its own timer is. */
export class StallMonitor {
  readonly #options: StallMonitorOptions;

  constructor(options: StallMonitorOptions) {
    this.#options = options;
  }

  /** Checks until interrupted. */
  run(): Effect.Effect<never> {
    const { clock } = this.#options;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      const startedAtMs = clock.monotonicMs();
      yield* clock.sleep(CHECK_INTERVAL_MS);
      const lateMs = clock.monotonicMs() - startedAtMs - CHECK_INTERVAL_MS;
      if (lateMs >= MIN_STALL_MS) this.#report(lateMs);
    }));
  }

  #report(lateMs: number): void {
    const { log, metrics } = this.#options;
    metrics.count("cairngate_box_stalls_total");
    log.warn(`This box stood still for ${Math.round(lateMs)} ms.`);
  }
}
