/**
 * When a stop is worth it under hard load, and whose turn it is. Answers loads on
 * which much of what runs is stopped for urgent work.
 */
import * as Workflow from "@cairngate/workflow";
import * as rank from "./rank.ts";

/** The moment of a decision. */
export interface StopContext {
  readonly wallMs: number;
  /** Time that a stop takes at most, in ms. */
  readonly stopMs: number;
  /** What a unit can still reach if it starts some time later. */
  readonly bestOutcomeAfter: (
    unit: Workflow.Unit,
    delayMs: number,
  ) => rank.Hope;
}

/**
 * Stops of one task for others after which it is spared. Callers give ordinary work
 * about three times its length: a task that has lost three runs is late by that alone.
 */
export const MAX_STOPS = 3;

/** Whether a task, or its gang, has been stopped for others as often as it may be. */
export function isSpared(group: readonly Workflow.Task[]): boolean {
  return group.some(({ stopsForOthers }) => stopsForOthers >= MAX_STOPS);
}

/** Whether a unit can still end in time if it starts only once others have stopped. */
export function canEndInTimeAfterStops(
  unit: Workflow.Unit,
  { stopMs, bestOutcomeAfter }: StopContext,
): boolean {
  return bestOutcomeAfter(unit, stopMs) === rank.Hope.InTime;
}
