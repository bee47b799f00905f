/** What a decision about a job is made from, and what it says. */
import type * as Errors from "@cairngate/errors";
import * as Workflow from "@cairngate/workflow";
import type * as forecasts from "./forecast.ts";

/** A job as a decision sees it. */
export interface JobShape {
  readonly service: string;
  readonly priority: number;
  readonly steps: readonly Workflow.StepSpec[];
  /** It runs at set times, or until it is cancelled. */
  readonly isTimed: boolean;
  /** Time by which it should end, in ms from now. */
  readonly dueInMs: number;
  /** Time after which its end is of no use, in ms from now. */
  readonly usefulForMs: number;
}

/** What is known of the room. */
export interface Known {
  /** Null: nothing, or no hard load. */
  readonly forecast: forecasts.Forecast | null;
  readonly ageMs: number;
}

/** What is known of the team that hands the job in. */
export interface TeamState {
  readonly team: string;
  /** Accelerators that it has paid for. */
  readonly guaranteed: number;
}

/** What becomes of a job. */
export enum Verdict {
  Accepted = "accepted",
  Rejected = "rejected",
}

/** Why a job is accepted without a look at the room. */
export enum Doubt {
  /** There is no forecast, or it does not tell of this service or priority. */
  Unknown = "unknown",
  Stale = "stale",
  /** It is within what its team has paid for. */
  Guaranteed = "guaranteed",
  /** It runs at set times or for good, so no end can be too late. */
  Timed = "timed",
}

/** What was decided. */
export type Decision =
  | {
    readonly verdict: Verdict.Accepted;
    /** Null where the room was looked at. */
    readonly doubt: Doubt | null;
  }
  | {
    readonly verdict: Verdict.Rejected;
    readonly reason: Errors.RejectReason;
    /** Time after which it could be of use, in ms. */
    readonly returnInMs: number;
  };

/** Work may take this many times its estimate: estimates are off by up to half. */
const LONGEST_SHARE = 1.5;

/** The shape of a workflow that is handed in now. */
export function shapeOf(spec: Workflow.WorkflowSpec): JobShape {
  const dueInMs = Workflow.objectiveAtMs(spec, 0) - Workflow.dueAtMs(spec, 0);
  return {
    service: spec.policy.service,
    priority: spec.policy.priority,
    steps: spec.steps,
    isTimed: spec.schedule !== null || spec.steps.some((one) => one.lasting),
    dueInMs,
    usefulForMs: longestObjectiveMs(spec) * Workflow.LATE_FACTOR,
  };
}

/** The objective of work that takes as long as it may; callers count its true time. */
function longestObjectiveMs({ steps, policy }: Workflow.WorkflowSpec): number {
  const workMs = Workflow.longestChainMs(steps) * LONGEST_SHARE;
  return policy.stretch * workMs + policy.latencyMs;
}
