/** Jobs as callers submit them and as boxes store them. */

/** Priority tiers; `TIER_ORDER` gives their order. */
export enum Tier {
  Urgent = "urgent",
  Standard = "standard",
  Batch = "batch",
}

/** Tiers from the highest priority to the lowest. */
export const TIER_ORDER: readonly Tier[] = [
  Tier.Urgent,
  Tier.Standard,
  Tier.Batch,
];

/** Returns the rank of a tier; 0 is the highest priority. */
export function rankTier(tier: Tier): number {
  return TIER_ORDER.indexOf(tier);
}

/** How close together the members of a job must be placed. */
export enum Adjacency {
  Any = "any",
  Worker = "worker",
  Rack = "rack",
}

/** How the results of a service's jobs reach their caller. */
export enum ServiceKind {
  /** The caller's connection stays open until the result is sent. */
  Short = "short",
  /** The job is stored before it is accepted. */
  Long = "long",
}

/** State of a job. */
export enum JobState {
  Waiting = "waiting",
  Claiming = "claiming",
  Starting = "starting",
  Running = "running",
  Yielding = "yielding",
  Done = "done",
  Failed = "failed",
  Cancelled = "cancelled",
  NotRun = "not-run",
  Unknown = "unknown",
}

const FINAL_STATES: ReadonlySet<JobState> = new Set([
  JobState.Done,
  JobState.Failed,
  JobState.Cancelled,
  JobState.NotRun,
  JobState.Unknown,
]);

/** Whether a job in this state has ended. */
export function isFinalState(state: JobState): boolean {
  return FINAL_STATES.has(state);
}

/** Outcomes that are reported to callers. */
export enum OutcomeKind {
  Done = "done",
  NotRun = "not-run",
  Unknown = "unknown",
}

/** The properties of a job that the scheduler uses. Times are in milliseconds. */
export interface JobShape {
  readonly id: string;
  readonly team: string;
  readonly service: string;
  readonly tier: Tier;
  /** Accelerators of each member, 1 to 8. */
  readonly accelerators: number;
  /** Number of members; 1 for a job that is not a gang. */
  readonly gang: number;
  readonly adjacency: Adjacency;
  /** Estimated run time; null if unknown. */
  readonly estimateMs: number | null;
  readonly repeatable: boolean;
  /** Checkpoint interval; null if the job cannot checkpoint. */
  readonly checkpointMs: number | null;
  readonly submittedAtMs: number;
  /** Wall-clock time after which the result is useless; null for none. */
  readonly deadlineAtMs: number | null;
}

/** A job with its work and its input. */
export interface Job extends JobShape {
  readonly kind: ServiceKind;
  readonly cell: string;
  /** Name of the operation that workers apply to the input. */
  readonly work: string;
  readonly input: unknown;
  readonly idempotencyKey: string | null;
  /** Hash of the request, to detect an idempotency key reused for another request. */
  readonly digest: string;
}

/** The durable record of a job in the table service. */
export interface JobRecord {
  readonly job: Job;
  readonly state: JobState;
  readonly attempt: string | null;
  readonly workers: readonly string[];
  readonly result: unknown;
  /** Object-store key of a result that is too large for a row; null otherwise. */
  readonly resultObject: string | null;
  readonly reason: string | null;
  readonly updatedAtMs: number;
}

/** The final response to a caller. */
export interface Outcome {
  readonly kind: OutcomeKind;
  readonly jobId: string;
  readonly attempt: string | null;
  readonly result: unknown;
  /** Why the job did not run or its outcome is unknown; null when done. */
  readonly reason: string | null;
  /** Delay before a retry, in seconds; null if a retry is pointless. */
  readonly retryAfterSeconds: number | null;
}
