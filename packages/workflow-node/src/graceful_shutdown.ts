/**
 * Graceful shutdown: hand over the coordination, serve requests until the load
 * balancer sends no more, answer those under way, then end all fibers. Each step has
 * its share of the grace time, so that a slow step leaves time for the last answers.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Time limits of the steps, in ms. */
export interface ShutdownBudget {
  /** Handing over, while requests are still served. */
  readonly handOverMs: number;
  /** Answering the requests under way, at least; time left by handing over is added. */
  readonly answersMs: number;
  /** Ending all fibers. */
  readonly endMs: number;
}

/** Steps of a shutdown. */
export interface ShutdownSteps {
  /** Ends the own term, removes the box's row and reports the box as not ready. */
  readonly handOver: Effect.Effect<void>;
  /** Completes when the last answer is sent. */
  readonly answer: Effect.Effect<unknown>;
  /** Ends all fibers. */
  readonly end: Effect.Effect<void>;
}

/** Time limits and dependencies of a shutdown. */
export interface ShutdownOptions {
  /** Time from the signal until the process is killed, in ms. */
  readonly graceMs: number;
  /** Time within which the load balancer notices that the box is not ready, in ms. */
  readonly unreadyMs: number;
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
}

/** Reserve for the delivery of the signal and the exit of the process. */
const RESERVE_SHARE = 0.1;
/** 1.5 s of a grace time of 6 s, where handing over takes all of its share. */
const ANSWERS_SHARE = 0.25;
/** Fibers end in a few ms, and more slowly on a box with a third of a core. */
const END_SHARE = 0.05;

/** Splits the grace time among the steps. */
export function splitGraceTime(graceMs: number): ShutdownBudget {
  const handOverShare = 1 - RESERVE_SHARE - ANSWERS_SHARE - END_SHARE;
  return {
    handOverMs: graceMs * handOverShare,
    answersMs: graceMs * ANSWERS_SHARE,
    endMs: graceMs * END_SHARE,
  };
}

/** Shuts a box down; a step that exceeds its time limit is abandoned. */
export function shutDownGracefully(
  steps: ShutdownSteps,
  options: ShutdownOptions,
): Effect.Effect<void> {
  const { clock, graceMs, unreadyMs } = options;
  const budget = splitGraceTime(graceMs);
  const untilUnready = clock.sleep(Math.min(unreadyMs, budget.handOverMs));
  return Effect.gen(function* () {
    const startedAtMs = clock.monotonicMs();
    yield* Effect.all([
      runStep("handing over", steps.handOver, budget.handOverMs, options),
      untilUnready,
    ], { concurrency: "unbounded", discard: true });
    const handedOverMs = clock.monotonicMs() - startedAtMs;
    const unusedMs = Math.max(0, budget.handOverMs - handedOverMs);
    yield* runStep(
      "answering the last requests",
      steps.answer,
      budget.answersMs + unusedMs,
      options,
    );
    yield* runStep("ending", steps.end, budget.endMs, options);
  });
}

function runStep(
  stepName: string,
  step: Effect.Effect<unknown>,
  timeoutMs: number,
  { clock, log }: ShutdownOptions,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const startedAtMs = clock.monotonicMs();
    const completion = Effect.as(step, true);
    const isDone = (yield* clock.within(timeoutMs, completion)) !== null;
    const elapsedMs = Math.round(clock.monotonicMs() - startedAtMs);
    if (isDone) log.info(`Stop: ${stepName} took ${elapsedMs} ms.`);
    else log.warn(`Stop: ${stepName} was abandoned after ${elapsedMs} ms.`);
  });
}
