/** What the scheduler decides, as plain data. */
import type * as job from "./job.ts";

/** Where one member of a job runs. */
export interface Slot {
  /** Index of the worker in the cell. */
  readonly worker: number;
  /** Bit i stands for accelerator i of the worker. */
  readonly mask: number;
}

/** On what ground a job holds its accelerators. */
export enum Entitlement {
  /** Inside its team's guaranteed shape. */
  Guaranteed = "guaranteed",
  /** On capacity that nobody has claimed; it may have to yield. */
  Opportunistic = "opportunistic",
}

/** Kinds of decisions. */
export enum DecisionKind {
  Start = "start",
  Preempt = "preempt",
  Expire = "expire",
}

/** Run this job on these slots now. */
export interface StartDecision {
  readonly kind: DecisionKind.Start;
  readonly jobId: string;
  readonly slots: readonly Slot[];
  readonly entitlement: Entitlement;
}

/** Checkpoint and stop this job so that another can start. */
export interface PreemptDecision {
  readonly kind: DecisionKind.Preempt;
  readonly jobId: string;
  /** The job that gains from it; null where a rack is made whole. */
  readonly claimant: string | null;
}

/** The deadline passed while the job waited; it never ran. */
export interface ExpireDecision {
  readonly kind: DecisionKind.Expire;
  readonly jobId: string;
}

/** One decision. */
export type Decision = StartDecision | PreemptDecision | ExpireDecision;

/** Why something happened to a job, or why it waits. */
export enum ReasonKind {
  Submitted = "submitted",
  PlacedGuaranteed = "placed-guaranteed",
  PlacedOpportunistic = "placed-opportunistic",
  Claiming = "claiming",
  Yielded = "yielded",
  Moved = "moved",
  Requeued = "requeued",
  Finished = "finished",
  Cancelled = "cancelled",
  Expired = "expired",
  WaitsForQuota = "waits-for-quota",
  WaitsForBlock = "waits-for-block",
  WaitsForReservation = "waits-for-reservation",
  WaitsBehind = "waits-behind",
  WaitsForVictims = "waits-for-victims",
}

/** One line of a job's history or one reason why it waits. */
export interface Reason {
  readonly kind: ReasonKind;
  readonly atMs: number;
  readonly detail: string;
}

/** A job's explanation, readable in one screen. */
export interface Explanation {
  readonly jobId: string;
  readonly team: string;
  readonly service: string;
  readonly tier: job.Tier;
  readonly state: job.JobState;
  readonly accelerators: number;
  readonly gang: number;
  readonly adjacency: job.Adjacency;
  readonly entitlement: Entitlement | null;
  readonly workers: readonly string[];
  readonly waitsFor: readonly Reason[];
  readonly ahead: readonly string[];
  readonly startsWhen: string | null;
  readonly history: readonly Reason[];
}
