/** Builds the order that sends a short job to its worker and reads the answer. */
import type * as Ports from "@cairngate/ports";
import * as Types from "@cairngate/types";

const HOLD_TIMEOUT_MS = 5000;
const LEASE_MS = 600_000;

/** Result of sending a short job to a worker. */
export type Dispatch =
  | { readonly kind: "answered"; readonly result: unknown }
  /** The job is proven not to have run. */
  | { readonly kind: "not-started"; readonly reason: string }
  /** The job may or may not have run. */
  | { readonly kind: "uncertain"; readonly reason: string };

/** Returns the part of a job that the cell's owner needs, without the input. */
export function toShape(job: Types.Job): Types.JobShape {
  const { kind: _, cell: __, work: ___, input: ____, ...rest } = job;
  const { idempotencyKey: _____, digest: ______, ...shape } = rest;
  return shape;
}

/** Builds the order for a granted job, with the waiting request's id. */
export function makeOrder(
  pending: { readonly job: Types.Job; readonly request: string },
  grant: Types.Grant,
  box: string,
): Types.HoldOrder {
  const { job, request } = pending;
  return {
    jobId: job.id,
    attempt: grant.attempt,
    rank: 0,
    fence: { cell: job.cell, epoch: grant.epoch },
    team: job.team,
    mask: grant.mask,
    gang: 1,
    work: job.work,
    input: job.input,
    estimateMs: job.estimateMs,
    repeatable: job.repeatable,
    checkpointMs: job.checkpointMs,
    progress: 0,
    holdMs: HOLD_TIMEOUT_MS,
    leaseMs: LEASE_MS,
    caller: { box, request },
    spec: toShape(job),
  };
}

/** Classifies a failed call: a refused or unsent order proves that nothing ran. */
export function classifyFailure(err: Ports.WorkerError): Dispatch {
  if (err._tag === "WorkerRefusedError") {
    return { kind: "not-started", reason: err.message };
  }
  if (err.neverSent) return { kind: "not-started", reason: err.message };
  return { kind: "uncertain", reason: err.message };
}

/** Whether an answer belongs to this order: same job, attempt, request and box. */
export function isAnswerToOrder(
  order: Types.HoldOrder,
  answer: Types.TaskAnswer,
): boolean {
  return answer.jobId === order.jobId &&
    answer.attempt === order.attempt &&
    answer.caller?.request === order.caller?.request &&
    answer.caller?.box === order.caller?.box;
}
