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

/** Sender of an order: the cell and its epoch. */
export interface Fence {
  readonly cell: string;
  readonly epoch: number;
}

/** Order to reserve accelerators for a task. */
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
  /** A hold is released if the task is not started within this time. */
  readonly holdMs: number;
  /** A running task is stopped if its lease is not renewed within this time. */
  readonly leaseMs: number;
  /** Box and request that wait for the result; null for stored jobs. */
  readonly caller: CallerRef | null;
  readonly spec: job.JobShape | null;
}

/** The box and the request to which a result belongs. */
export interface CallerRef {
  readonly box: string;
  readonly request: string;
}

/** Order that refers to a held or running task. */
export interface TaskOrder extends TaskKey {
  readonly fence: Fence;
}

/** Order to stop a task. */
export interface StopOrder extends TaskOrder {
  /** Whether to save a checkpoint first. */
  readonly checkpoint: boolean;
}

/** A worker's reply to a stop. */
export interface StopReply {
  /** False if the task has never started and can't start any more. */
  readonly ran: boolean;
  /** Whether the task had finished before the stop arrived. */
  readonly finished: boolean;
  readonly progress: number;
  /** The result of a finished task. */
  readonly result: unknown;
  /** Changes when the worker restarts, which loses its record of earlier tasks. */
  readonly bootId: string;
}

/** State of a task, as reported by its worker. */
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

/** All tasks of a worker, returned when a new epoch fences off lower ones. */
export interface Inventory {
  readonly worker: string;
  /** Changes whenever the worker restarts. */
  readonly bootId: string;
  readonly leaving: boolean;
  readonly version: number;
  readonly tasks: readonly TaskReport[];
}

/** Tasks that changed since a version; the response is delayed until one does. */
export interface WorkerReport {
  readonly worker: string;
  readonly bootId: string;
  readonly leaving: boolean;
  readonly version: number;
  readonly changed: readonly TaskReport[];
  /** Accelerators in use at the worker's last measurement. */
  readonly usage: number;
}

/** Long poll for changed tasks; also renews the leases of the cell's tasks. */
export interface ReportRequest {
  readonly fence: Fence;
  readonly sinceVersion: number;
  readonly waitMs: number;
  /** Finished tasks that the owner has recorded; the worker may delete them. */
  readonly acknowledged: readonly TaskKey[];
}

/** Result of a finished task. */
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
