/**
 * Workers that run tasks of workflows under a lease. A worker keeps the highest
 * fencing token that it has seen and does nothing for a lower one.
 */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";

/**
 * A worker by its id. Its lives may share the id: one may begin again under it, empty,
 * with numbers, clock and fencing token anew. Births tell such lives apart.
 */
export interface EndpointRef {
  readonly id: string;
  /** host:port */
  readonly address: string;
}

/** A worker as the platform's list shows it. */
export interface EndpointListing extends EndpointRef {
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly draining: boolean;
  /** Least time that a draining worker has left; null while it stays. */
  readonly leavesInMs: number | null;
  /** How much longer it runs slowly, from when it wrote the entry; 0: it is warm. */
  readonly coldForMs: number;
  /** The worker's steady clock when it wrote the entry. */
  readonly clockMs: number | null;
  /** When this life began, in ms since 1970 by its own time of day; null: not told. */
  readonly bornMs: number | null;
}

/** Names one run of a task. */
export interface RunRef {
  readonly task: string;
  readonly run: number;
}

/** Starts a run. */
export interface StartRun extends RunRef {
  readonly payload: string;
  readonly checkpoint: string;
  /** Permission of the advice service; null where none is needed. */
  readonly ticket: string | null;
  readonly fencingToken: number;
  /** End of the worker's lease, on the worker's clock. */
  readonly leaseUntilMs: number;
}

/** Renews the lease and asks what runs. */
export interface RenewLease {
  readonly fencingToken: number;
  /** Null leaves the lease as it is. */
  readonly leaseUntilMs: number | null;
  /** Ends up to this number are recorded and may be forgotten. */
  readonly recordedEnds: number;
  /**
   * Birth of the life that numbered these ends; null: it tells none. Another life is
   * told of no recorded end: it would forget ends that nobody has read.
   */
  readonly recordedBy: number | null;
  /** The answer waits this long for an end. */
  readonly waitMs: number;
}

/** A run that a worker holds. */
export interface HeldRun extends RunRef {
  readonly checkpoint: string;
  readonly percent: number;
  /** Slowest answers in ms for a serving task, cpu in use for others. */
  readonly reading: number | null;
}

/** The ways a run ends, in the worker's words. */
export type EndKind =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "broken"
  | "alone";

/** A run that has ended; numbers rise within one life of a worker. */
export interface EndedRun extends RunRef {
  readonly number: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** What a worker holds and what has ended there. */
export interface EndpointView {
  readonly clockMs: number;
  /** When the life that answers began, as in its entry; null: not told. */
  readonly bornMs: number | null;
  /** Up to which number this look has told of recorded ends; 0: of none. */
  readonly toldEnds: number;
  readonly held: readonly HeldRun[];
  readonly ended: readonly EndedRun[];
}

/** Failures of an order. */
export type OrderError =
  | Errors.OrderRefusedError
  | Errors.WorkerReplacedError
  | Errors.WorkerLostError;

/** Port of the workers. */
export abstract class TaskWorkers {
  /** Starts a run; the same run again does nothing. Returns its clock. */
  abstract start(
    endpoint: EndpointRef,
    order: StartRun,
  ): Effect.Effect<number, OrderError>;

  /** Stops a run; one that has not arrived yet never starts. */
  abstract stop(
    endpoint: EndpointRef,
    order: RunRef & { readonly fencingToken: number },
  ): Effect.Effect<number, OrderError>;

  /**
   * Renews the lease and reads what runs and what has ended. Where it is not sure
   * that the life which numbered the recorded ends will answer, it tells of none.
   */
  abstract renew(
    endpoint: EndpointRef,
    order: RenewLease,
  ): Effect.Effect<EndpointView, OrderError>;
}
