/** What every scheduler can do; the bench and the tests compare several. */
import type * as Types from "@cairngate/types";

/** Circumstances of a submission. */
export interface SubmitOptions {
  readonly nowMs: number;
  /** Saved progress of an earlier attempt, 0 to 1. */
  readonly progress?: number;
}

/** Circumstances of a return to the queue. */
export interface RequeueOptions {
  readonly nowMs: number;
  readonly progress: number;
  readonly detail: string;
}

/** A scheduler of one cell. */
export abstract class SchedulerCore {
  /** Puts a new job into the queue. */
  abstract submit(shape: Types.JobShape, options: SubmitOptions): void;
  /** A job has ended; its accelerators are free. */
  abstract finish(jobId: string): void;
  /** A running job has stopped and goes back to the queue. */
  abstract requeue(jobId: string, options: RequeueOptions): void;
  /** Opens or closes a worker for new work. */
  abstract setWorkerAvailable(worker: number, available: boolean): void;
  /** Decides what starts, yields and expires now. */
  abstract plan(nowMs: number): Types.Decision[];
}
