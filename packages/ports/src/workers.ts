/**
 * Port of the workers that run jobs. Assumption: a worker stores the highest epoch it
 * has seen for each cell and refuses orders with a lower one.
 */
import type * as Errors from "@cairngate/errors";
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";

/**
 * Failures of an order. After a refusal nothing was started; after a loss this is
 * unknown.
 */
export type WorkerError = Errors.WorkerRefusedError | Errors.WorkerLostError;

/** Port of the workers; `endpoint` is a worker's address. */
export abstract class Workers {
  /** Fences off lower epochs and reads all tasks of the worker. */
  abstract fence(
    endpoint: string,
    fence: Types.Fence,
  ): Effect.Effect<Types.Inventory, WorkerError>;

  /** Reserves accelerators for a task. */
  abstract hold(
    endpoint: string,
    order: Types.HoldOrder,
  ): Effect.Effect<void, WorkerError>;

  /** Starts a held task; has no effect on a running one. */
  abstract start(
    endpoint: string,
    order: Types.TaskOrder,
  ): Effect.Effect<void, WorkerError>;

  /** Holds and starts a task, then waits for its result. */
  abstract run(
    endpoint: string,
    order: Types.HoldOrder,
  ): Effect.Effect<Types.TaskAnswer, WorkerError>;

  /**
   * Stops a task. A worker records an unknown task as stopped, so that an order that
   * arrives later is refused.
   */
  abstract stop(
    endpoint: string,
    order: Types.StopOrder,
  ): Effect.Effect<Types.StopReply, WorkerError>;

  /** Long-polls for changes and renews the leases of the cell's tasks. */
  abstract report(
    endpoint: string,
    request: Types.ReportRequest,
  ): Effect.Effect<Types.WorkerReport, WorkerError>;
}
