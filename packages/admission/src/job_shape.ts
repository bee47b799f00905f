/** Inputs and outcome of an admission decision. */
import type * as Errors from "@cairngate/errors";
import * as Workflow from "@cairngate/workflow";
import type * as forecasts from "./forecast.ts";

/** The properties of a job that a decision depends on. */
export interface JobShape {
  readonly service: string;
  readonly priority: number;
  readonly steps: readonly Workflow.StepSpec[];
  /** Whether it runs on a schedule, or until it is cancelled. */
  readonly hasNoDeadline: boolean;
  /** Time by which it should end, in ms from now. */
  readonly dueInMs: number;
  /** Time after which its result is no longer useful, in ms from now. */
  readonly deadlineInMs: number;
}

/** The newest forecast and its age. */
export interface KnownForecast {
  /** Null if there is no forecast or no hard load. */
  readonly forecast: forecasts.Forecast | null;
  readonly ageMs: number;
}

/** The team that submits the job. */
export interface TeamState {
  readonly team: string;
  /** Accelerators that the team has paid for. */
  readonly guaranteed: number;
}

/** Outcome of an admission decision. */
export enum Verdict {
  Accepted = "accepted",
  Rejected = "rejected",
}

/** Why a job is accepted without a check of the free capacity. */
export enum UncheckedReason {
  /** There is no forecast, or it does not cover this service or priority. */
  Unknown = "unknown",
  Stale = "stale",
  /** The job is within its team's guarantee. */
  Guaranteed = "guaranteed",
  /** The job runs on a schedule or until it is cancelled, so no end is too late. */
  NoDeadline = "timed",
}

/** An admission decision with its reason. */
export type Decision =
  | {
    readonly verdict: Verdict.Accepted;
    /** Null if the free capacity was checked. */
    readonly uncheckedReason: UncheckedReason | null;
  }
  | {
    readonly verdict: Verdict.Rejected;
    readonly reason: Errors.RejectReason;
    /** Time after which the job may be accepted, in ms. */
    readonly retryAfterMs: number;
  };

/**
 * Factor by which work may exceed its estimate: estimates are off by up to half.
 */
const MAX_ESTIMATE_FACTOR = 1.5;

/** Derives the shape of a workflow that is submitted now. */
export function toJobShape(spec: Workflow.WorkflowSpec): JobShape {
  const dueInMs = Workflow.objectiveAtMs(spec, 0) - Workflow.dueAtMs(spec, 0);
  return {
    service: spec.policy.service,
    priority: spec.policy.priority,
    steps: spec.steps,
    hasNoDeadline: spec.schedule !== null ||
      spec.steps.some((step) => step.lasting),
    dueInMs,
    deadlineInMs: maxObjectiveMs(spec) * Workflow.LATE_FACTOR,
  };
}

/**
 * The objective in ms of work that takes as long as it may; callers measure the
 * objective by the actual run time.
 */
function maxObjectiveMs({ steps, policy }: Workflow.WorkflowSpec): number {
  const workMs = Workflow.criticalPathMs(steps) * MAX_ESTIMATE_FACTOR;
  return policy.stretch * workMs + policy.latencyMs;
}
