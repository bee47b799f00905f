/** Tagged errors. Each message says what failed and what to do next. */
import * as Data from "effect/Data";

/** One fault in a file: where, and what was expected there. */
export interface Fault {
  readonly path: string;
  readonly expected: string;
}

/** A settings or operators' file with faults. Final: correct the file. */
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

/** Guaranteed shapes that cannot all be placed at once. Final. */
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

/** The file was written against another version. Read it again, then apply. */
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

/** The table service did not answer in time or refused. May be retried. */
export class StoreUnavailableError
  extends Data.TaggedError("StoreUnavailableError")<{
    readonly operation: string;
    readonly cause: string;
    /** True where an earlier try of the same write got no answer. */
    readonly perhapsDone?: boolean;
  }> {
  override get message(): string {
    return `The platform's store did not carry out ${this.operation} ` +
      `(${this.cause}). Try again in a few seconds.`;
  }
}

/** The table service takes no such write, however often it is asked. */
export class WriteRefusedError extends Data.TaggedError("WriteRefusedError")<{
  /** Key of the first row that was to be written. */
  readonly key: string;
  readonly cause: string;
}> {
  override get message(): string {
    return `The platform's store takes no such write of ${this.key} ` +
      `(${this.cause}). The row is too large, or a name in it is not allowed.`;
  }
}

/** An answer from the store was lost; the write may have taken effect. */
export class AnswerLostError extends Data.TaggedError("AnswerLostError")<{
  readonly operation: string;
}> {
  override get message(): string {
    return `The answer to ${this.operation} was lost; ` +
      `read back to learn whether it took effect.`;
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
  /** The epoch the worker holds to. */
  readonly epoch: number;
}> {
  override get message(): string {
    return `Worker ${this.worker} refused the order: ${this.reason} ` +
      `(its epoch is ${this.epoch}).`;
  }
}

/** Why a worker refuses an order. */
export enum RefusalReason {
  StaleEpoch = "stale-epoch",
  Leaving = "leaving",
  Busy = "busy",
  Revoked = "revoked",
  NotHeld = "not-held",
  Duplicate = "duplicate",
  Malformed = "malformed",
}

/** A worker did not answer; whether the order took effect is not known. */
export class WorkerLostError extends Data.TaggedError("WorkerLostError")<{
  readonly worker: string;
  readonly cause: string;
  /** True where the order certainly never left this box. */
  readonly neverSent: boolean;
}> {
  override get message(): string {
    return `Worker ${this.worker} did not answer (${this.cause}).`;
  }
}

/** A box could not be reached. May be retried. */
export class PeerUnreachableError
  extends Data.TaggedError("PeerUnreachableError")<{
    readonly box: string;
    readonly cause: string;
  }> {
  override get message(): string {
    return `Box ${this.box} cannot be reached (${this.cause}).`;
  }
}

/** The box asked does not own the cell. Ask the named owner. */
export class NotOwnerError extends Data.TaggedError("NotOwnerError")<{
  readonly cell: string;
  readonly epoch: number;
}> {
  override get message(): string {
    return `This box does not own cell ${this.cell} ` +
      `(highest epoch seen: ${this.epoch}). Ask again shortly.`;
  }
}

/** A caller's request that cannot be taken as it is. Final. */
export class BadRequestError extends Data.TaggedError("BadRequestError")<{
  readonly field: string;
  readonly expected: string;
}> {
  override get message(): string {
    return `Field ${this.field}: ${this.expected}.`;
  }
}

/** No such job, or one whose record is gone. */
export class UnknownJobError extends Data.TaggedError("UnknownJobError")<{
  readonly jobId: string;
}> {
  override get message(): string {
    return `There is no job ${this.jobId}.`;
  }
}

/** Too much work for the moment; nothing was started. */
export class OverloadedError extends Data.TaggedError("OverloadedError")<{
  readonly limit: string;
  readonly retryAfterSeconds: number;
}> {
  override get message(): string {
    return `The limit "${this.limit}" is reached. ` +
      `Try again in ${this.retryAfterSeconds} s.`;
  }
}

/** This box cannot serve yet or any more. */
export class NotReadyError extends Data.TaggedError("NotReadyError")<{
  readonly waitsFor: string;
}> {
  override get message(): string {
    return `This box is not ready: it waits for ${this.waitsFor}.`;
  }
}

/** A message between processes that has no known shape. Dropped and counted. */
export class MalformedMessageError
  extends Data.TaggedError("MalformedMessageError")<{
    readonly from: string;
    readonly cause: string;
  }> {
  override get message(): string {
    return `A message from ${this.from} was dropped: ${this.cause}.`;
  }
}

/** The store could not keep a value. */
export class TooLargeError extends Data.TaggedError("TooLargeError")<{
  readonly what: string;
  readonly limitBytes: number;
}> {
  override get message(): string {
    return `${this.what} is larger than ${this.limitBytes} bytes.`;
  }
}

/** A server could not be opened on its address. */
export class ListenError extends Data.TaggedError("ListenError")<{
  readonly address: string;
  readonly cause: string;
}> {
  override get message(): string {
    return `Cannot listen on ${this.address} (${this.cause}). ` +
      `Free the port or change the settings.`;
  }
}

/** The history of a feed is gone from this position. Read all rows again. */
export class HistoryLostError extends Data.TaggedError("HistoryLostError")<{
  readonly position: number;
}> {
  override get message(): string {
    return `The history after position ${this.position} is gone. ` +
      `Read all rows again.`;
  }
}

/** Why a worker refuses an order of a workflow's task. */
export enum OrderRefusal {
  /** It has seen a higher fencing token. */
  Fenced = "fenced",
  /** The run is not above one that was stopped or ended there. */
  OldRun = "old-run",
  /** The lease given with the order has run out. */
  Late = "late",
  /** The task does not fit beside what runs there. */
  NoRoom = "no-room",
  /** The ticket of the advice service does not hold. */
  Ticket = "ticket",
  Malformed = "malformed",
  /** The worker is not well; it has done nothing. */
  Unhealthy = "unhealthy",
}

/** A worker refused an order; nothing was done. */
export class OrderRefusedError extends Data.TaggedError("OrderRefusedError")<{
  readonly worker: string;
  readonly reason: OrderRefusal;
}> {
  override get message(): string {
    return `Worker ${this.worker} refused the order: ${this.reason}.`;
  }
}

/** Another life of the worker answered; all that ran in the former is gone. */
export class WorkerReplacedError
  extends Data.TaggedError("WorkerReplacedError")<{
    readonly worker: string;
  }> {
  override get message(): string {
    return `Worker ${this.worker} has been replaced at its address.`;
  }
}

/** The caller's key is unknown. */
export class UnknownKeyError extends Data.TaggedError("UnknownKeyError")<{
  readonly queue: string;
}> {
  override get message(): string {
    return `The key given is not one of a tenant of queue ${this.queue}.`;
  }
}

/** No queue is reached at this host and path. */
export class UnknownQueueError extends Data.TaggedError("UnknownQueueError")<{
  readonly path: string;
}> {
  override get message(): string {
    return `No queue is reached at ${this.path}.`;
  }
}

/** Why a row of the store can't be used. */
export enum UnusableReason {
  /** Its bytes are no text. */
  Bytes = "bytes",
  /** Its text is no JSON. */
  Json = "json",
  /** A field is missing, or of another type or range. */
  Shape = "shape",
  /** It is used, but for some of its parts. */
  Part = "part",
}

/** A row that some other writer left in a form that says nothing here. */
export class UnusableRowError extends Data.TaggedError("UnusableRowError")<{
  readonly key: string;
  readonly revision: number;
  readonly reason: UnusableReason;
  /** Names the field; it never shows what stands there. */
  readonly cause: string;
}> {
  override get message(): string {
    return `Row ${this.key} of revision ${this.revision} can't be used ` +
      `(${this.cause}). Whoever wrote it has to write it again.`;
  }
}

/** Why a submission is rejected while there is too little room. */
export enum RejectReason {
  /** No endpoint that was seen is large enough for one of its tasks. */
  NoEndpoint = "no-endpoint",
  /** All endpoints together are too small for one of its gangs. */
  NoFleet = "no-fleet",
  /** No rack is large enough for one of its gangs, and across racks it is late. */
  NoRack = "no-rack",
  /** It would end when it is of no use any more. */
  TooLate = "too-late",
  /** It came again before the time that it was told. */
  Turn = "turn",
}

/** A submission that could not be of use now. Nothing of it was stored. */
export class RejectedError extends Data.TaggedError("RejectedError")<{
  readonly jobId: string;
  readonly reason: RejectReason;
  /** Time after which it may come again, in ms. */
  readonly retryAfterMs: number;
}> {
  override get message(): string {
    return `Job ${this.jobId} is not taken and has not run: ${this.reason}. ` +
      `Hand it in again in ${Math.ceil(this.retryAfterMs / 1000)} s.`;
  }
}
