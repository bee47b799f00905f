/** Messages between boxes and workers. */
import type * as job from "./job.ts";

/** State of a task on a worker. */
export enum TaskState {
  Held = "held",
  Running = "running",
  Finished = "finished",
  Failed = "failed",
  Stopped = "stopped",
}

/** Identifies one attempt of one member of a job. */
export interface TaskKey {
  readonly jobId: string;
  readonly attempt: string;
  readonly rank: number;
}

/** Part of every order: which cell sends it, under which epoch. */
export interface Fence {
  readonly cell: string;
  readonly epoch: number;
}

/** Asks a worker to set accelerators aside for a task. */
export interface HoldOrder extends TaskKey {
  readonly fence: Fence;
  readonly team: string;
  readonly mask: number;
  /** Members of the whole job. */
  readonly gang: number;
  readonly work: string;
  readonly input: unknown;
  readonly estimateMs: number | null;
  readonly repeatable: boolean;
  readonly checkpointMs: number | null;
  /** Progress of an earlier attempt, 0 to 1. */
  readonly progress: number;
  /** A hold that is not started within this time is dropped. */
  readonly holdMs: number;
  /** A running task whose lease is not renewed for this time is stopped. */
  readonly leaseMs: number;
  /** Box and request that wait for the answer; null for stored jobs. */
  readonly caller: CallerRef | null;
  readonly spec: job.JobShape | null;
}

/** The box and the request that an answer belongs to. */
export interface CallerRef {
  readonly box: string;
  readonly request: string;
}

/** Asks a worker to start a held task, or to stop one. */
export interface TaskOrder extends TaskKey {
  readonly fence: Fence;
}

/** Asks a worker to stop a task. */
export interface StopOrder extends TaskOrder {
  /** Save progress first. */
  readonly checkpoint: boolean;
}

/** What a worker says of a stop. */
export interface StopReply {
  /** False when the task never started and now never will. */
  readonly ran: boolean;
  /** The task had finished before the stop arrived. */
  readonly finished: boolean;
  readonly progress: number;
  /** The result of a finished task. */
  readonly result: unknown;
  /** A worker that has restarted does not know what ran before. */
  readonly bootId: string;
}

/** A task as a worker reports it. */
export interface TaskReport extends TaskKey {
  readonly state: TaskState;
  readonly epoch: number;
  readonly mask: number;
  /** Members of the whole job. */
  readonly gang: number;
  readonly team: string;
  readonly progress: number;
  readonly result: unknown;
  readonly caller: CallerRef | null;
  readonly spec: job.JobShape | null;
}

/** Everything a worker holds, read back on a seal. */
export interface Inventory {
  readonly worker: string;
  /** Changes whenever the worker restarts. */
  readonly bootId: string;
  readonly leaving: boolean;
  readonly version: number;
  readonly tasks: readonly TaskReport[];
}

/** Tasks that changed since a version; answered late when nothing changed. */
export interface WorkerReport {
  readonly worker: string;
  readonly bootId: string;
  readonly leaving: boolean;
  readonly version: number;
  readonly changed: readonly TaskReport[];
  /** Accelerators in use, as measured some time ago. */
  readonly usage: number;
}

/** A long poll for changes; renews the leases of the cell's tasks. */
export interface ReportRequest {
  readonly fence: Fence;
  readonly sinceVersion: number;
  readonly waitMs: number;
  /** Finished tasks the owner has recorded; the worker may forget them. */
  readonly acknowledged: readonly TaskKey[];
}

/** Answer of a finished task. */
export interface TaskAnswer extends TaskKey {
  readonly state: TaskState;
  readonly result: unknown;
  readonly caller: CallerRef | null;
}

/** A box or worker in the platform's list of live and leaving machines. */
export interface LiveEntry {
  readonly name: string;
  readonly endpoint: string;
  readonly leaving: boolean;
}
