/**
 * Limits stops for urgent work under hard load, where otherwise many runs are stopped
 * before they end.
 */
import * as Workflow from "@cairngate/workflow";
import * as rank from "./rank.ts";

/** Time and estimates on which a decision to stop tasks is based. */
export interface StopContext {
  readonly wallMs: number;
  /** Longest time that a stop takes, in ms. */
  readonly stopMs: number;
  /** Best outcome of a unit that starts after a delay in ms. */
  readonly bestOutcomeAfter: (
    unit: Workflow.Unit,
    delayMs: number,
  ) => rank.Outcome;
}

/**
 * Stops for other work after which a task is spared. The objective of ordinary work is
 * about three times its run time, so three lost runs alone make a task late.
 */
export const MAX_STOPS = 3;

/** Whether a task of the group was stopped for other work as often as allowed. */
export function isSpared(group: readonly Workflow.Task[]): boolean {
  return group.some(({ preemptions }) => preemptions >= MAX_STOPS);
}

/** Whether a unit still ends in time if it starts after a stop of other tasks. */
export function canEndInTimeAfterStops(
  unit: Workflow.Unit,
  { stopMs, bestOutcomeAfter }: StopContext,
): boolean {
  return bestOutcomeAfter(unit, stopMs) === rank.Outcome.InTime;
}
