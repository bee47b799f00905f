/** Jobs as callers submit them and as boxes keep them. */

/** Priority tiers, highest first in `TIER_ORDER`. */
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

/** Rank of a tier: 0 is the highest priority. */
export function rankTier(tier: Tier): number {
  return TIER_ORDER.indexOf(tier);
}

/** How close together the members of a job must lie. */
export enum Adjacency {
  Any = "any",
  Worker = "worker",
  Rack = "rack",
}

/** How a service's jobs reach their caller. */
export enum ServiceKind {
  /** The caller's connection is held until the answer. */
  Short = "short",
  /** The job is stored before it is accepted. */
  Long = "long",
}

/** Where a job is in its life. */
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

/** The three outcomes a caller can be told. */
export enum OutcomeKind {
  Done = "done",
  NotRun = "not-run",
  Unknown = "unknown",
}

/** What the scheduler needs to know of a job. Times are in milliseconds. */
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
  /** Estimated run time; null where unknown. */
  readonly estimateMs: number | null;
  readonly repeatable: boolean;
  /** Checkpoint interval; null where the job cannot checkpoint. */
  readonly checkpointMs: number | null;
  readonly submittedAtMs: number;
  /** Wall-clock time after which an answer is of no use; null for none. */
  readonly deadlineAtMs: number | null;
}

/** A job with the work it carries. */
export interface Job extends JobShape {
  readonly kind: ServiceKind;
  readonly cell: string;
  /** Name of the work that workers do on the input. */
  readonly work: string;
  readonly input: unknown;
  readonly idempotencyKey: string | null;
  /** Hash of what was asked for; a key stands for one request only. */
  readonly digest: string;
}

/** The durable record of a job, as kept in the table service. */
export interface JobRecord {
  readonly job: Job;
  readonly state: JobState;
  readonly attempt: string | null;
  readonly workers: readonly string[];
  readonly result: unknown;
  /** Object-store key of a result too large for a row; null otherwise. */
  readonly resultObject: string | null;
  readonly reason: string | null;
  readonly updatedAtMs: number;
}

/** The final answer to a caller. */
export interface Outcome {
  readonly kind: OutcomeKind;
  readonly jobId: string;
  readonly attempt: string | null;
  readonly result: unknown;
  /** Why the job did not run or is unknown; null when done. */
  readonly reason: string | null;
  /** When to come back, in seconds; null when it makes no sense. */
  readonly retryAfterSeconds: number | null;
}
