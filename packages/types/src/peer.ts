/** Messages between boxes. */
import type * as job from "./job.ts";

/** Which box owns a cell, under which epoch. */
export interface OwnerClaim {
  readonly cell: string;
  readonly epoch: number;
  readonly holder: string;
}

/** State of a box as it tells its peers. */
export enum BoxState {
  Starting = "starting",
  Live = "live",
  Leaving = "leaving",
}

/** Kinds of messages between boxes. */
export enum PeerKind {
  Heartbeat = "heartbeat",
  FetchConfig = "fetch-config",
  Place = "place",
  Released = "released",
  Enqueue = "enqueue",
  JobStatus = "job-status",
  Cancel = "cancel",
  Explain = "explain",
  CellStatus = "cell-status",
}

/** Sent at a fixed interval on every link. */
export interface Heartbeat {
  readonly kind: PeerKind.Heartbeat;
  readonly box: string;
  readonly state: BoxState;
  readonly configVersion: number;
  readonly owners: readonly OwnerClaim[];
  /** Owners this box has heard from lately. */
  readonly hears: readonly string[];
  /** Workers this box knows to be leaving. */
  readonly leavingWorkers: readonly string[];
}

/** Asks a peer for its configuration. */
export interface FetchConfig {
  readonly kind: PeerKind.FetchConfig;
}

/** Asks the owner where a short job may run; answered when decided. */
export interface Place {
  readonly kind: PeerKind.Place;
  readonly cell: string;
  readonly box: string;
  readonly request: string;
  readonly shape: job.JobShape;
  readonly waitMs: number;
}

/** Tells the owner that a granted attempt has ended. */
export interface Released {
  readonly kind: PeerKind.Released;
  readonly cell: string;
  readonly jobId: string;
  readonly attempt: string;
  readonly ran: boolean;
  /** The task may still occupy its slots: look before reusing them. */
  readonly uncertain: boolean;
}

/** What the owner knows of a released attempt. */
export interface ReleasedReply {
  /** False: proved never to have run; null: not known. */
  readonly ran: boolean | null;
  /** Whether the attempt finished, with its result. */
  readonly finished: boolean;
  readonly result: unknown;
}

/** Tells the owner that a stored job exists. */
export interface Enqueue {
  readonly kind: PeerKind.Enqueue;
  readonly cell: string;
}

/** Asks the owner for a stored job's record; waits for its end if asked. */
export interface JobStatus {
  readonly kind: PeerKind.JobStatus;
  readonly cell: string;
  readonly jobId: string;
  readonly waitMs: number;
}

/** Asks the owner to cancel a job. */
export interface Cancel {
  readonly kind: PeerKind.Cancel;
  readonly cell: string;
  readonly jobId: string;
}

/** Asks the owner to explain a job. */
export interface Explain {
  readonly kind: PeerKind.Explain;
  readonly cell: string;
  readonly jobId: string;
}

/** Asks the owner for the state of its cell. */
export interface CellStatusRequest {
  readonly kind: PeerKind.CellStatus;
  readonly cell: string;
}

/** Any request from box to box. */
export type PeerRequest =
  | Heartbeat
  | FetchConfig
  | Place
  | Released
  | Enqueue
  | JobStatus
  | Cancel
  | Explain
  | CellStatusRequest;

/** Kinds of an owner's reply to `Place`. */
export enum GrantKind {
  Granted = "granted",
  NotRun = "not-run",
}

/** The owner's reply to `Place`. */
export interface Grant {
  readonly kind: GrantKind;
  readonly jobId: string;
  readonly attempt: string;
  readonly epoch: number;
  readonly worker: string;
  readonly endpoint: string;
  readonly mask: number;
  readonly reason: string | null;
  readonly retryAfterSeconds: number | null;
}

/** A reply to `Place` that says: not run. */
export function createRefusal(
  jobId: string,
  reason: string,
  retryAfterSeconds: number | null,
): Grant {
  return {
    kind: GrantKind.NotRun,
    jobId,
    attempt: "",
    epoch: 0,
    worker: "",
    endpoint: "",
    mask: 0,
    reason,
    retryAfterSeconds,
  };
}

/** State of one rack, as shown to operators. */
export interface RackStatus {
  readonly name: string;
  /** One text for each worker: `.` free, `g` guaranteed, `o` opportunistic, `x` unavailable. */
  readonly workers: readonly string[];
}

/** State of one team in a cell. */
export interface TeamStatus {
  readonly team: string;
  readonly tier: job.Tier;
  readonly guaranteed: number;
  readonly used: number;
  readonly usedGuaranteed: number;
  readonly reclaimable: number;
  readonly waiting: number;
  readonly shortfall: number;
}

/** State of a cell, as its owner sees it. */
export interface CellStatus {
  readonly cell: string;
  readonly owner: string;
  readonly epoch: number;
  readonly holdover: boolean;
  readonly sealedWorkers: number;
  readonly workers: number;
  readonly waiting: number;
  readonly running: number;
  readonly racks: readonly RackStatus[];
  readonly teams: readonly TeamStatus[];
  readonly fragmentation: readonly BlockFragmentation[];
}

/** Share of free accelerators that lies outside whole free blocks. */
export interface BlockFragmentation {
  readonly block: number;
  readonly value: number;
}
