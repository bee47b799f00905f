/** Decisions of the scheduler, as plain data. */
import type * as job from "./job.ts";

/** The accelerators on which one member of a job runs. */
export interface Slot {
  /** Index of the worker in the cell. */
  readonly worker: number;
  /** Bit i stands for accelerator i of the worker. */
  readonly mask: number;
}

/** Whether a job's accelerators are covered by its team's guarantee. */
export enum Entitlement {
  /** Within its team's guaranteed shape. */
  Guaranteed = "guaranteed",
  /** On spare capacity; the job may be preempted. */
  Opportunistic = "opportunistic",
}

/** Kinds of scheduling decisions. */
export enum DecisionKind {
  Start = "start",
  Preempt = "preempt",
  Expire = "expire",
}

/** Starts a job on the given slots. */
export interface StartDecision {
  readonly kind: DecisionKind.Start;
  readonly jobId: string;
  readonly slots: readonly Slot[];
  readonly entitlement: Entitlement;
}

/** Checkpoints and stops a job so that another one can start. */
export interface PreemptDecision {
  readonly kind: DecisionKind.Preempt;
  readonly jobId: string;
  /** The job that needs the capacity; null if a rack is defragmented. */
  readonly claimant: string | null;
}

/** Ends a job that never ran, because its deadline passed while it waited. */
export interface ExpireDecision {
  readonly kind: DecisionKind.Expire;
  readonly jobId: string;
}

/** Any scheduling decision. */
export type Decision = StartDecision | PreemptDecision | ExpireDecision;

/** Kinds of events in a job's history, and kinds of reasons why it waits. */
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

/** One event in a job's history or one reason why it waits. */
export interface Reason {
  readonly kind: ReasonKind;
  readonly atMs: number;
  readonly detail: string;
}

/** The state of a job with its history and the reasons why it waits. */
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
