/**
 * Endpoints that run tasks of workflows under a lease. An endpoint stores the highest
 * fencing token that it has seen and refuses orders with a lower one.
 */
import type * as Errors from "@cairngate/errors";
import type * as Effect from "effect/Effect";

/**
 * Id and address of an endpoint. Several incarnations may follow each other under one
 * id: each starts empty, with its own end numbers, clock and fencing token. Their birth
 * times tell them apart.
 */
export interface EndpointRef {
  readonly id: string;
  /** host:port */
  readonly address: string;
}

/** An endpoint's entry in the platform's list. */
export interface EndpointListing extends EndpointRef {
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly draining: boolean;
  /** Minimum time until a draining endpoint leaves, in ms; null if not draining. */
  readonly leavesInMs: number | null;
  /** Remaining warm-up time when the entry was written, in ms; 0: it is warm. */
  readonly coldForMs: number;
  /** The endpoint's monotonic clock when it wrote the entry. */
  readonly clockMs: number | null;
  /** Birth time by the endpoint's wall clock, in ms since 1970; null: unknown. */
  readonly bornMs: number | null;
}

/** Identifies one run of a task. */
export interface RunRef {
  readonly task: string;
  readonly run: number;
}

/** Order to start a run. */
export interface StartOrder extends RunRef {
  readonly payload: string;
  readonly checkpoint: string;
  /** Ticket of the advice service; null if none is needed. */
  readonly ticket: string | null;
  readonly fencingToken: number;
  /** End of the endpoint's lease, on the endpoint's monotonic clock. */
  readonly leaseUntilMs: number;
}

/**
 * An unanswered start whose run is over. It may still be delivered, and an incarnation
 * that began after the run was stopped would execute it.
 */
export interface RevokedStart extends RunRef {
  readonly endpoint: EndpointRef;
  /** Time after which it is not delivered any more, in ms. */
  readonly expiresInMs: number;
}

/** Order to renew the lease and report runs. */
export interface RenewOrder {
  readonly fencingToken: number;
  /** New end of the lease, on the endpoint's clock; null leaves it unchanged. */
  readonly leaseUntilMs: number | null;
  /** Ends up to this number are recorded; the endpoint may delete them. */
  readonly recordedEnds: number;
  /**
   * Birth time of the incarnation that numbered these ends; null if it reports none.
   * No recorded ends are sent to another incarnation, because it would delete ends of
   * its own that have not been read.
   */
  readonly recordedBy: number | null;
  /** Maximum time for which the response waits for an end. */
  readonly waitMs: number;
}

/** A run that an endpoint has not ended yet. */
export interface HeldRun extends RunRef {
  readonly checkpoint: string;
  readonly percent: number;
  /** Slowest response times in ms for a serving task, CPU in use for others. */
  readonly reading: number | null;
}

/** How a run ended, as reported by the endpoint. */
export type EndKind =
  | "done"
  | "failed"
  | "stopped"
  | "lapsed"
  | "broken"
  | "alone";

/** A run that has ended; `number` increases within one incarnation. */
export interface EndedRun extends RunRef {
  readonly number: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** The state of an endpoint: its current runs and the ends not recorded yet. */
export interface EndpointReport {
  readonly clockMs: number;
  /** Birth time of the responding incarnation, as in its listing; null: unknown. */
  readonly bornMs: number | null;
  /** Highest end number that this poll sent as recorded; 0: none. */
  readonly toldEnds: number;
  readonly held: readonly HeldRun[];
  readonly ended: readonly EndedRun[];
}

/** Failures of an order. */
export type OrderError =
  | Errors.OrderRefusedError
  | Errors.WorkerReplacedError
  | Errors.WorkerLostError;

/** Port of the endpoints that run tasks of workflows. */
export abstract class TaskEndpoints {
  /** Starts a run; repeating the order has no effect. Returns its clock. */
  abstract start(
    endpoint: EndpointRef,
    order: StartOrder,
  ): Effect.Effect<number, OrderError>;

  /** Stops a run, and refuses a start that arrives later. Returns its clock. */
  abstract stop(
    endpoint: EndpointRef,
    order: RunRef & { readonly fencingToken: number },
  ): Effect.Effect<number, OrderError>;

  /**
   * Renews the lease and reads current runs and ends. Sends no recorded ends where
   * another incarnation than the one that numbered them might receive the order.
   */
  abstract renew(
    endpoint: EndpointRef,
    order: RenewOrder,
  ): Effect.Effect<EndpointReport, OrderError>;
}
