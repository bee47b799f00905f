/** Tagged errors. Messages name the failure and, where useful, the next step. */
import * as Data from "effect/Data";

/** A fault in a file: its path and the expected value. */
export interface Fault {
  readonly path: string;
  readonly expected: string;
}

/** A settings file or operators' file has faults. Not retryable. */
export class InvalidFileError extends Data.TaggedError("InvalidFileError")<{
  readonly file: string;
  readonly faults: readonly Fault[];
}> {
  override get message(): string {
    const lines = this.faults.map((f) => `${f.path}: ${f.expected}`);
    return `${this.file} is not valid. Correct these places and try again:\n${
      lines.join("\n")
    }`;
  }
}

/** The guaranteed shapes cannot all be placed at once. Not retryable. */
export class InfeasibleGuaranteeError
  extends Data.TaggedError("InfeasibleGuaranteeError")<{
    readonly team: string;
    readonly block: number;
    readonly missing: number;
    readonly wouldFit: string;
  }> {
  override get message(): string {
    return `The guaranteed blocks of ${this.block} accelerators do not fit ` +
      `(first short: team ${this.team}, ${this.missing} missing). ` +
      `What fits besides the larger blocks: ${this.wouldFit}. ` +
      `Lower a guarantee or add racks.`;
  }
}

/** The file is based on a version that is not in force. */
export class VersionConflictError
  extends Data.TaggedError("VersionConflictError")<{
    readonly basedOn: number;
    readonly inForce: number;
    readonly inForceHash: string;
  }> {
  override get message(): string {
    return `The file is based on version ${this.basedOn}, but version ` +
      `${this.inForce} (${this.inForceHash}) is in force. ` +
      `Compare with "cairngate config diff", then apply again.`;
  }
}

/** The table service did not respond in time or refused. Retryable. */
export class StoreUnavailableError
  extends Data.TaggedError("StoreUnavailableError")<{
    readonly operation: string;
    readonly cause: string;
    /** True if an earlier attempt of the same write got no response. */
    readonly perhapsDone?: boolean;
  }> {
  override get message(): string {
    return `The platform's store did not complete ${this.operation} ` +
      `(${this.cause}). Try again in a few seconds.`;
  }
}

/** The table service rejects the write. Not retryable. */
export class WriteRefusedError extends Data.TaggedError("WriteRefusedError")<{
  /** Key of the first row of the write. */
  readonly key: string;
  readonly cause: string;
}> {
  override get message(): string {
    return `The platform's store rejected the write of ${this.key} ` +
      `(${this.cause}). The row is too large or a name in it is not allowed.`;
  }
}

/** The store's response was lost; the write may have taken effect. */
export class AnswerLostError extends Data.TaggedError("AnswerLostError")<{
  readonly operation: string;
}> {
  override get message(): string {
    return `The response to ${this.operation} was lost; ` +
      `read the rows to find out whether it took effect.`;
  }
}

/** A condition of a transaction did not hold. */
export class ConditionFailedError
  extends Data.TaggedError("ConditionFailedError")<{
    readonly key: string;
    readonly expected: number;
    readonly actual: number;
  }> {
  override get message(): string {
    return `Row ${this.key} is at revision ${this.actual}, ` +
      `not ${this.expected}. Read it again.`;
  }
}

/** A worker refused an order; nothing was started by it. */
export class WorkerRefusedError extends Data.TaggedError("WorkerRefusedError")<{
  readonly worker: string;
  readonly reason: RefusalReason;
  /** Highest epoch that the worker has seen. */
  readonly epoch: number;
}> {
  override get message(): string {
    return `Worker ${this.worker} refused the order: ${this.reason} ` +
      `(its epoch is ${this.epoch}).`;
  }
}

/** Reasons why a worker refuses an order. */
export enum RefusalReason {
  StaleEpoch = "stale-epoch",
  Leaving = "leaving",
  Busy = "busy",
  Revoked = "revoked",
  NotHeld = "not-held",
  Duplicate = "duplicate",
  Malformed = "malformed",
}

/** A worker did not respond; the order may or may not have taken effect. */
export class WorkerLostError extends Data.TaggedError("WorkerLostError")<{
  readonly worker: string;
  readonly cause: string;
  /** True if the order was certainly not sent. */
  readonly neverSent: boolean;
}> {
  override get message(): string {
    return `Worker ${this.worker} did not respond (${this.cause}).`;
  }
}

/** A box could not be reached. Retryable. */
export class PeerUnreachableError
  extends Data.TaggedError("PeerUnreachableError")<{
    readonly box: string;
    readonly cause: string;
  }> {
  override get message(): string {
    return `Box ${this.box} cannot be reached (${this.cause}).`;
  }
}

/** The receiver of a request does not own the cell. */
export class NotOwnerError extends Data.TaggedError("NotOwnerError")<{
  readonly cell: string;
  readonly epoch: number;
}> {
  override get message(): string {
    return `This box does not own cell ${this.cell} ` +
      `(highest epoch seen: ${this.epoch}). Try again shortly.`;
  }
}

/** A field of a caller's request is not valid. Not retryable. */
export class BadRequestError extends Data.TaggedError("BadRequestError")<{
  readonly field: string;
  readonly expected: string;
}> {
  override get message(): string {
    return `Field ${this.field}: ${this.expected}.`;
  }
}

/** The job does not exist or its record has been deleted. */
export class UnknownJobError extends Data.TaggedError("UnknownJobError")<{
  readonly jobId: string;
}> {
  override get message(): string {
    return `There is no job ${this.jobId}.`;
  }
}

/** A load limit is reached; nothing was started. */
export class OverloadedError extends Data.TaggedError("OverloadedError")<{
  readonly limit: string;
  readonly retryAfterSeconds: number;
}> {
  override get message(): string {
    return `The limit "${this.limit}" is reached. ` +
      `Try again in ${this.retryAfterSeconds} s.`;
  }
}

/** The box is starting or stopping and cannot serve. */
export class NotReadyError extends Data.TaggedError("NotReadyError")<{
  readonly waitsFor: string;
}> {
  override get message(): string {
    return `This box is not ready: waiting for ${this.waitsFor}.`;
  }
}

/** A message between processes is malformed. It is dropped and counted. */
export class MalformedMessageError
  extends Data.TaggedError("MalformedMessageError")<{
    readonly from: string;
    readonly cause: string;
  }> {
  override get message(): string {
    return `A message from ${this.from} was dropped: ${this.cause}.`;
  }
}

/** A value exceeds a size limit. */
export class TooLargeError extends Data.TaggedError("TooLargeError")<{
  readonly what: string;
  readonly limitBytes: number;
}> {
  override get message(): string {
    return `${this.what} is larger than ${this.limitBytes} bytes.`;
  }
}

/** A request's body has stopped arriving. */
export class StalledBodyError extends Data.TaggedError("StalledBodyError")<{
  readonly idleMs: number;
}> {
  override get message(): string {
    return `Nothing of the request body has arrived for ${this.idleMs} ms.`;
  }
}

/** A server could not listen on its address. */
export class ListenError extends Data.TaggedError("ListenError")<{
  readonly address: string;
  readonly cause: string;
}> {
  override get message(): string {
    return `Cannot listen on ${this.address} (${this.cause}). ` +
      `Free the port or change the settings.`;
  }
}

/** A feed's history after a position has been deleted. Read all rows again. */
export class HistoryLostError extends Data.TaggedError("HistoryLostError")<{
  readonly position: number;
}> {
  override get message(): string {
    return `The history after position ${this.position} has been deleted. ` +
      `Read all rows again.`;
  }
}

/** Reasons why an endpoint refuses an order for a task of a workflow. */
export enum OrderRefusal {
  /** The endpoint has seen a higher fencing token. */
  Fenced = "fenced",
  /** The run is not newer than one that was stopped or has ended there. */
  StaleRun = "old-run",
  /** The lease in the order has expired. */
  LeaseExpired = "late",
  /** The task does not fit beside the current runs. */
  NoCapacity = "no-room",
  /** The ticket of the advice service is not valid. */
  InvalidTicket = "ticket",
  Malformed = "malformed",
  /** The endpoint is unhealthy and did not carry out the order. */
  Unhealthy = "unhealthy",
}

/** An endpoint refused an order, which had no effect. */
export class OrderRefusedError extends Data.TaggedError("OrderRefusedError")<{
  readonly worker: string;
  readonly reason: OrderRefusal;
}> {
  override get message(): string {
    return `Worker ${this.worker} refused the order: ${this.reason}.`;
  }
}

/** Another incarnation of the endpoint responded; earlier runs are lost. */
export class WorkerReplacedError
  extends Data.TaggedError("WorkerReplacedError")<{
    readonly worker: string;
  }> {
  override get message(): string {
    return `Worker ${this.worker} has been replaced at its address.`;
  }
}

/** The caller's API key does not belong to a team of the queue. */
export class UnknownKeyError extends Data.TaggedError("UnknownKeyError")<{
  readonly queue: string;
}> {
  override get message(): string {
    return `The key does not belong to a team of queue ${this.queue}.`;
  }
}

/** No queue is configured for the host and path of a request. */
export class UnknownQueueError extends Data.TaggedError("UnknownQueueError")<{
  readonly path: string;
}> {
  override get message(): string {
    return `No queue is configured at ${this.path}.`;
  }
}

/** Reasons why a row of the store can't be used. */
export enum UnusableReason {
  /** The bytes are not valid text. */
  InvalidText = "bytes",
  /** The text is not valid JSON. */
  InvalidJson = "json",
  /** A field is missing, or has a wrong type or range. */
  InvalidShape = "shape",
  /** The row is used except for some of its parts. */
  PartlyInvalid = "part",
}

/** A row written by another program can't be decoded. */
export class UnusableRowError extends Data.TaggedError("UnusableRowError")<{
  readonly key: string;
  readonly revision: number;
  readonly reason: UnusableReason;
  /** Names the field, but never contains its value. */
  readonly cause: string;
}> {
  override get message(): string {
    return `Row ${this.key} at revision ${this.revision} can't be used ` +
      `(${this.cause}). Its writer has to write it again.`;
  }
}

/** Reasons why a submission is rejected for lack of capacity. */
export enum RejectReason {
  /** No listed endpoint is large enough for one of its tasks. */
  EndpointSize = "no-endpoint",
  /** All endpoints together are too small for one of its gangs. */
  FleetSize = "no-fleet",
  /** No rack fits one of its gangs, and across racks it would be late. */
  RackSize = "no-rack",
  /** It would end after its result has become useless. */
  TooLate = "too-late",
  /** It was resubmitted before its retry time. */
  TooEarly = "turn",
  /** The coordinator has no memory for more accepted workflows. */
  NoMemory = "no-memory",
}

/** A submission was rejected for lack of capacity. Nothing was stored. */
export class RejectedError extends Data.TaggedError("RejectedError")<{
  readonly jobId: string;
  readonly reason: RejectReason;
  /** Delay before a resubmission, in ms. */
  readonly retryAfterMs: number;
}> {
  override get message(): string {
    return `Job ${this.jobId} was rejected and has not run: ${this.reason}. ` +
      `Submit it again in ${Math.ceil(this.retryAfterMs / 1000)} s.`;
  }
}
