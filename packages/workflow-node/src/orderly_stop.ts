/**
 * A planned stop within its grace time: hand over, serve on until no new callers
 * come, answer those who wait, end. One time is shared out among the steps, so that
 * none of them takes what the last answers need.
 */
import type * as Logger from "@cairngate/logger";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Parts of the grace time, in ms. */
export interface StopBudget {
  /** For handing over while callers are still served. */
  readonly handOverMs: number;
  /** For the answers of callers who wait. */
  readonly answersMs: number;
  /** For ending all fibers. */
  readonly endMs: number;
}

/** Steps of a stop. */
export interface StopSteps {
  /** Gives the term back and takes the box off the list; no new callers come. */
  readonly handOver: Effect.Effect<void>;
  /** Ends when the last answer is sent. */
  readonly answer: Effect.Effect<unknown>;
  /** Ends all fibers. */
  readonly end: Effect.Effect<void>;
}

/** What a stop needs. */
export interface StopOptions {
  /** Time from the signal until the process is killed, in ms. */
  readonly graceMs: number;
  /** Time until the balancer has noticed that the box is not ready, in ms. */
  readonly unreadyMs: number;
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
}

/** Left for the signal on its way and the end of the process. */
const RESERVE_SHARE = 0.1;
/** A quarter: 1.5 s of 6 s, in which all but the longest calls end. */
const ANSWERS_SHARE = 0.25;
/** Fibers end in some ms; a box of a third of a core takes longer. */
const END_SHARE = 0.05;

/** Shares the grace time out among the steps. */
export function splitGraceTime(graceMs: number): StopBudget {
  const handOverShare = 1 - RESERVE_SHARE - ANSWERS_SHARE - END_SHARE;
  return {
    handOverMs: graceMs * handOverShare,
    answersMs: graceMs * ANSWERS_SHARE,
    endMs: graceMs * END_SHARE,
  };
}

/** Stops a box; a step that takes longer than its part is left behind. */
export function stopOrderly(
  steps: StopSteps,
  options: StopOptions,
): Effect.Effect<void> {
  const { clock, graceMs, unreadyMs } = options;
  const budget = splitGraceTime(graceMs);
  const untilUnready = clock.sleep(Math.min(unreadyMs, budget.handOverMs));
  return Effect.gen(function* () {
    yield* Effect.all([
      runStep("handing over", steps.handOver, budget.handOverMs, options),
      untilUnready,
    ], { concurrency: "unbounded", discard: true });
    yield* runStep("the last answers", steps.answer, budget.answersMs, options);
    yield* runStep("ending", steps.end, budget.endMs, options);
  });
}

function runStep(
  stepName: string,
  step: Effect.Effect<unknown>,
  timeoutMs: number,
  { clock, log }: StopOptions,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const startedAtMs = clock.monotonicMs();
    const completion = Effect.as(step, true);
    const isDone = (yield* clock.within(timeoutMs, completion)) !== null;
    const elapsedMs = Math.round(clock.monotonicMs() - startedAtMs);
    if (isDone) log.info(`Stop: ${stepName} took ${elapsedMs} ms.`);
    else log.warn(`Stop: ${stepName} was left after ${elapsedMs} ms.`);
  });
}
