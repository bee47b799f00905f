/**
 * The workers' side of the platform. Assumption: a worker keeps the highest
 * epoch it has seen for a cell and refuses orders with a lower one.
 */
import type * as Errors from "@cairngate/errors";
import type * as Types from "@cairngate/types";
import type * as Effect from "effect/Effect";

/** A refusal proves that nothing was started; a loss proves nothing. */
export type WorkerError = Errors.WorkerRefusedError | Errors.WorkerLostError;

/** Port of the workers; every call names the endpoint. */
export abstract class Workers {
  /** Shuts out lower epochs and reads back all tasks. */
  abstract seal(
    endpoint: string,
    fence: Types.Fence,
  ): Effect.Effect<Types.Inventory, WorkerError>;

  /** Sets accelerators aside for a task. */
  abstract hold(
    endpoint: string,
    order: Types.HoldOrder,
  ): Effect.Effect<void, WorkerError>;

  /** Starts a held task; starting a running task again does nothing. */
  abstract start(
    endpoint: string,
    order: Types.TaskOrder,
  ): Effect.Effect<void, WorkerError>;

  /** Holds, starts, and waits for the answer. */
  abstract run(
    endpoint: string,
    order: Types.HoldOrder,
  ): Effect.Effect<Types.TaskAnswer, WorkerError>;

  /**
   * Stops a task. A task the worker has never seen is remembered as stopped,
   * so that an order that arrives later is refused.
   */
  abstract stop(
    endpoint: string,
    order: Types.StopOrder,
  ): Effect.Effect<Types.StopReply, WorkerError>;

  /** Waits for changes and renews the leases of the cell's tasks. */
  abstract report(
    endpoint: string,
    request: Types.ReportRequest,
  ): Effect.Effect<Types.WorkerReport, WorkerError>;
}
