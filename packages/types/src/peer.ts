/** Messages between boxes. */
import type * as job from "./job.ts";

/** A box's claim to own a cell under an epoch. */
export interface OwnerClaim {
  readonly cell: string;
  readonly epoch: number;
  readonly holder: string;
}

/** State of a box as reported to its peers. */
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

/** Message sent at a fixed interval on every connection. */
export interface Heartbeat {
  readonly kind: PeerKind.Heartbeat;
  readonly box: string;
  readonly state: BoxState;
  readonly configVersion: number;
  readonly owners: readonly OwnerClaim[];
  /** Owners from which this box has recently received heartbeats. */
  readonly hears: readonly string[];
  /** Workers that are leaving, as far as this box has been informed. */
  readonly leavingWorkers: readonly string[];
}

/** Requests a peer's configuration. */
export interface FetchConfig {
  readonly kind: PeerKind.FetchConfig;
}

/** Requests a placement for a short job; the reply follows once it is decided. */
export interface Place {
  readonly kind: PeerKind.Place;
  readonly cell: string;
  readonly box: string;
  readonly request: string;
  readonly shape: job.JobShape;
  readonly waitMs: number;
}

/** Reports the end of a granted attempt to the owner. */
export interface Released {
  readonly kind: PeerKind.Released;
  readonly cell: string;
  readonly jobId: string;
  readonly attempt: string;
  readonly ran: boolean;
  /** The task may still occupy its slots, which must be checked before reuse. */
  readonly uncertain: boolean;
}

/** The owner's state of a released attempt. */
export interface ReleasedReply {
  /** False: proven never to have run; null: unknown. */
  readonly ran: boolean | null;
  /** Whether the attempt finished; `result` is set then. */
  readonly finished: boolean;
  readonly result: unknown;
}

/** Informs the owner of a stored job. */
export interface Enqueue {
  readonly kind: PeerKind.Enqueue;
  readonly cell: string;
}

/** Requests a stored job's record; waits up to `waitMs` for its end. */
export interface JobStatus {
  readonly kind: PeerKind.JobStatus;
  readonly cell: string;
  readonly jobId: string;
  readonly waitMs: number;
}

/** Requests the owner to cancel a job. */
export interface Cancel {
  readonly kind: PeerKind.Cancel;
  readonly cell: string;
  readonly jobId: string;
}

/** Requests the explanation of a job from the owner. */
export interface Explain {
  readonly kind: PeerKind.Explain;
  readonly cell: string;
  readonly jobId: string;
}

/** Requests the state of a cell from its owner. */
export interface CellStatusRequest {
  readonly kind: PeerKind.CellStatus;
  readonly cell: string;
}

/** Any request between boxes. */
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

/** Kinds of replies to `Place`. */
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

/** Creates a reply to `Place` for a job that was not run. */
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
  /**
   * A string for each worker with one character per accelerator: `.` free,
   * `g` guaranteed, `o` opportunistic, `x` unavailable.
   */
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

/** State of a cell, as reported by its owner. */
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

/** Share of the free accelerators that lie outside complete free blocks of a size. */
export interface BlockFragmentation {
  readonly block: number;
  readonly value: number;
}
