/** Hold, start and stop orders to the workers of an attempt. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as owned from "./owned_job.ts";
import type * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";

/** The worker stops a running task whose lease is not renewed for this long. */
export const TASK_LEASE_MS = 600_000;
/** The worker drops a hold that is not started within this time. */
export const HOLD_TIMEOUT_MS = 10_000;
const ORDER_TIMEOUT_MS = 2000;
const START_RETRY_DELAY_MS = 100;
/** Starts are retried for this long; below the hold timeout, so holds still exist. */
const START_TIMEOUT_MS = 6000;

/** Outcome of the stop of an attempt. */
export interface StopResult {
  /** Whether every worker answered. */
  readonly complete: boolean;
  /** Whether some member had started, or may have on a worker that has restarted. */
  readonly ran: boolean;
  /** Results by rank if every member had finished, else null. */
  readonly results: readonly unknown[] | null;
  /** Least saved progress of all members; 0 unless every worker answered. */
  readonly progress: number;
}

/** Sends orders to workers under the epoch of one lease. */
export class TaskOrders {
  readonly #ports: ports.CellPorts;
  readonly #lease: leases.OwnerLease;
  readonly #endpointOf: (worker: string) => string | null;

  constructor(
    cellPorts: ports.CellPorts,
    lease: leases.OwnerLease,
    endpointOf: (worker: string) => string | null,
  ) {
    this.#ports = cellPorts;
    this.#lease = lease;
    this.#endpointOf = endpointOf;
  }

  /** Holds accelerators for every member; returns whether all are held. */
  holdAll(
    stored: owned.StoredJob,
    attempt: owned.Attempt,
    progress: number,
  ): Effect.Effect<boolean> {
    const holds = attempt.slots.map((slot, rank) => {
      const order = this.#holdOrder(stored, attempt, { rank, slot, progress });
      return this.#send(
        attempt.workers[rank],
        (endpoint) => this.#ports.workers.hold(endpoint, order),
      );
    });
    return Effect.map(
      Effect.all(holds, { concurrency: "unbounded" }),
      (replies) => replies.every((reply) => reply !== null),
    );
  }

  /** Starts every member, with retries of lost orders; returns whether all started. */
  startAll(
    shape: Types.JobShape,
    attempt: owned.Attempt,
  ): Effect.Effect<boolean> {
    attempt.isStartOrdered = true;
    const starts = attempt.workers.map((worker, rank) =>
      this.#startMember(worker, this.#taskOrder(shape, attempt, rank))
    );
    return Effect.map(
      Effect.all(starts, { concurrency: "unbounded" }),
      (started) => started.every((ok) => ok),
    );
  }

  /** Stops every member, on request after a checkpoint. */
  stopAll(
    shape: Types.JobShape,
    attempt: owned.Attempt,
    checkpoint: boolean,
  ): Effect.Effect<StopResult> {
    const stops = attempt.workers.map((worker, rank) => {
      const order = { ...this.#taskOrder(shape, attempt, rank), checkpoint };
      return this.#send(
        worker,
        (endpoint) => this.#ports.workers.stop(endpoint, order),
      );
    });
    const replies = Effect.all(stops, { concurrency: "unbounded" });
    return Effect.map(replies, (list) => summarizeStops(list, attempt));
  }

  /** Stops one task that does not belong to a current attempt. */
  stopUnexpected(worker: string, key: Types.TaskKey): Effect.Effect<void> {
    const { jobId, attempt, rank } = key;
    const { cell, epoch } = this.#lease;
    const fence = { cell, epoch };
    const order = { jobId, attempt, rank, fence, checkpoint: false };
    const stop = this.#send(
      worker,
      (endpoint) => this.#ports.workers.stop(endpoint, order),
    );
    return Effect.asVoid(stop);
  }

  #startMember(
    worker: string,
    order: Types.TaskOrder,
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random } = this.#ports;
      const endMs = clock.monotonicMs() + START_TIMEOUT_MS;
      while (clock.monotonicMs() < endMs && !this.#lease.isLost) {
        const reply = yield* this.#sendTyped(
          worker,
          (endpoint) => this.#ports.workers.start(endpoint, order),
        );
        if (reply.kind === "done") return true;
        if (reply.kind === "refused") return false;
        yield* clock.sleep(random.jitter(START_RETRY_DELAY_MS));
      }
      return false;
    });
  }

  #taskOrder(
    shape: Types.JobShape,
    attempt: owned.Attempt,
    rank: number,
  ): Types.TaskOrder {
    const { cell, epoch } = this.#lease;
    const fence = { cell, epoch };
    return { jobId: shape.id, attempt: attempt.id, rank, fence };
  }

  #holdOrder(
    stored: owned.StoredJob,
    attempt: owned.Attempt,
    member: { rank: number; slot: Types.Slot; progress: number },
  ): Types.HoldOrder {
    const { shape, record } = stored;
    return {
      ...this.#taskOrder(shape, attempt, member.rank),
      team: shape.team,
      mask: member.slot.mask,
      gang: shape.gang,
      work: record.job.work,
      input: record.job.input,
      estimateMs: shape.estimateMs,
      repeatable: shape.repeatable,
      checkpointMs: shape.checkpointMs,
      progress: member.progress,
      holdMs: HOLD_TIMEOUT_MS,
      leaseMs: TASK_LEASE_MS,
      caller: null,
      spec: shape,
    };
  }

  /** Returns the reply, or null if the order was refused or lost. */
  #send<A>(
    worker: string,
    order: (endpoint: string) => Effect.Effect<A, Ports.WorkerError>,
  ): Effect.Effect<{ readonly value: A } | null> {
    return Effect.map(
      this.#sendTyped(worker, order),
      (reply) => reply.kind === "done" ? { value: reply.value } : null,
    );
  }

  #sendTyped<A>(
    worker: string,
    order: (endpoint: string) => Effect.Effect<A, Ports.WorkerError>,
  ): Effect.Effect<OrderReply<A>> {
    return Effect.gen({ self: this }, function* () {
      const endpoint = this.#endpointOf(worker);
      if (endpoint === null || !(yield* this.#lease.check())) {
        return { kind: "lost" } as const;
      }
      const call = this.#ports.clock.within(ORDER_TIMEOUT_MS, order(endpoint));
      const exit = yield* Effect.result(call);
      if (exit._tag === "Success") {
        if (exit.success === null) return { kind: "lost" } as const;
        return { kind: "done", value: exit.success.value } as const;
      }
      return this.#readFailure(exit.failure);
    });
  }

  #readFailure(err: Ports.WorkerError): OrderReply<never> {
    if (err._tag === "WorkerLostError") return { kind: "lost" };
    if (err.reason === Errors.RefusalReason.StaleEpoch) {
      this.#lease.noteEpoch(err.epoch, `worker ${err.worker}`);
    }
    return { kind: "refused" };
  }
}

type OrderReply<A> =
  | { readonly kind: "done"; readonly value: A }
  | { readonly kind: "refused" }
  | { readonly kind: "lost" };

function summarizeStops(
  replies: readonly ({ readonly value: Types.StopReply } | null)[],
  attempt: owned.Attempt,
): StopResult {
  const values = replies.flatMap((reply) =>
    reply === null ? [] : [reply.value]
  );
  // A worker that restarted after the attempt was created has lost its task
  // state, so its reply can't show that the member never ran.
  const hasRestarted = replies.some((reply, rank) =>
    reply !== null && reply.value.bootId !== attempt.bootIds[rank]
  );
  const complete = values.length === replies.length;
  const finished = complete && values.every((reply) => reply.finished);
  const saved = values.map((reply) => reply.progress);
  return {
    complete,
    ran: hasRestarted || values.some((reply) => reply.ran),
    results: finished ? values.map((reply) => reply.result) : null,
    progress: complete && saved.length > 0 ? Math.min(...saved) : 0,
  };
}
