/** Work that goes on after a fault in our own code, which is logged. */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** What restarting needs. */
export interface RestartParts {
  /** Names the work in logs. */
  readonly what: string;
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** Pause before work begins again, in ms: a lasting fault must not spin. */
const RESTART_DELAY_MS = 200;

/** Begins work again after a defect; a long-running fiber must not die of one. */
export function restartOnDefect<A, E>(
  work: Effect.Effect<A, E>,
  parts: RestartParts,
): Effect.Effect<A, E> {
  const { what, clock, log, metrics } = parts;
  return Effect.catchDefect(work, (defect) => {
    log.error(`${what} failed and begins again: ${describeDefect(defect)}`);
    metrics.count("cairngate_defects_total", { what });
    return Effect.andThen(
      clock.sleep(RESTART_DELAY_MS),
      Effect.suspend(() => restartOnDefect(work, parts)),
    );
  });
}

/** The first lines of a defect's stack, or what else there is. */
export function describeDefect(defect: unknown): string {
  if (!(defect instanceof Error)) return String(defect);
  return (defect.stack ?? defect.message).split("\n").slice(0, 4).join(" | ");
}
