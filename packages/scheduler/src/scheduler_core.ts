/** Interface of schedulers, which the bench and the tests compare. */
import type * as Types from "@cairngate/types";

/** Details of a submission. */
export interface SubmitOptions {
  readonly nowMs: number;
  /** Saved progress of an earlier attempt, 0 to 1. */
  readonly progress?: number;
}

/** Details of a return to the queue. */
export interface RequeueOptions {
  readonly nowMs: number;
  readonly progress: number;
  readonly detail: string;
}

/** A scheduler of one cell. */
export abstract class SchedulerCore {
  /** Adds a new job to the queue. */
  abstract submit(shape: Types.JobShape, options: SubmitOptions): void;
  /** Removes a job that has ended and frees its accelerators. */
  abstract finish(jobId: string): void;
  /** Returns a running job that has stopped to the queue. */
  abstract requeue(jobId: string, options: RequeueOptions): void;
  /** Sets whether new work may be placed on a worker. */
  abstract setWorkerAvailable(worker: number, available: boolean): void;
  /** Decides which jobs start, yield and expire now. */
  abstract plan(nowMs: number): Types.Decision[];
}
