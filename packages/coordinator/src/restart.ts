/** Restarts long-running work after a defect, which is logged and counted. */
import type * as Logger from "@cairngate/logger";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Options of a restart. */
export interface RestartOptions {
  /** Name of the work in logs and metrics. */
  readonly what: string;
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  readonly metrics: Metrics.Metrics;
}

/** Delay before a restart, in ms, which keeps a persistent defect from looping. */
const RESTART_DELAY_MS = 200;

/**
 * Restarts work after a defect, so that a long-running fiber survives it. Failures of
 * the error type `E` pass through.
 */
export function restartOnDefect<A, E>(
  work: Effect.Effect<A, E>,
  parts: RestartOptions,
): Effect.Effect<A, E> {
  const { what, clock, log, metrics } = parts;
  return Effect.catchDefect(work, (defect) => {
    log.error(`${what} failed and is restarted: ${describeDefect(defect)}`);
    metrics.count("cairngate_defects_total", { what });
    return Effect.andThen(
      clock.sleep(RESTART_DELAY_MS),
      Effect.suspend(() => restartOnDefect(work, parts)),
    );
  });
}

/** The first lines of a defect's stack, or its message or text where it has none. */
export function describeDefect(defect: unknown): string {
  if (!(defect instanceof Error)) return String(defect);
  return (defect.stack ?? defect.message).split("\n").slice(0, 4).join(" | ");
}
