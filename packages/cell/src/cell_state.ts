/** State shared by the components of a cell's owner. */
import * as Scheduler from "@cairngate/scheduler";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as Queue from "effect/Queue";
import * as records from "./job_records.ts";
import type * as owned from "./owned_job.ts";
import type * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";
import * as taskOrders from "./task_orders.ts";
import type * as workerLinks from "./worker_link.ts";

/** State of a cell during one ownership, that is, under one epoch. */
export class CellState {
  readonly ports: ports.CellPorts;
  readonly lease: leases.OwnerLease;
  readonly records: records.JobRecords;
  readonly orders: taskOrders.TaskOrders;
  readonly jobs = new Map<string, owned.OwnedJob>();
  /**
   * Ids of stored jobs that ended under this epoch. A scan that was started
   * earlier may still return them as open.
   */
  readonly endedIds = new Set<string>();
  readonly links = new Map<string, workerLinks.WorkerLink>();
  /** Wakes the planner; the queue keeps one element at most. */
  readonly wakeups: Queue.Queue<void>;
  readonly #fibers = new Set<Fiber.Fiber<unknown>>();
  scheduler: Scheduler.Scheduler;
  configVersion: number;
  #attempts = 0;

  constructor(
    options: {
      ports: ports.CellPorts;
      lease: leases.OwnerLease;
      config: ports.ConfigInForce;
      wakeups: Queue.Queue<void>;
    },
  ) {
    this.ports = options.ports;
    this.lease = options.lease;
    this.wakeups = options.wakeups;
    this.configVersion = options.config.version;
    this.scheduler = createScheduler(options.config, options.lease.cell);
    this.records = new records.JobRecords(options.ports, options.lease);
    this.orders = new taskOrders.TaskOrders(
      options.ports,
      options.lease,
      (worker) => this.links.get(worker)?.worker.endpoint ?? null,
    );
  }

  /** Returns an attempt id that is unique across owners: epoch and counter. */
  nextAttemptId(): string {
    this.#attempts++;
    return `${this.lease.epoch}-${this.#attempts}`;
  }

  /** Index of a worker in the scheduler's layout; -1 if it is not listed. */
  indexOf(worker: string): number {
    return Scheduler.findWorkerIndex(this.scheduler.layout, worker);
  }

  /** Returns the names and current boot ids of the workers of the given slots. */
  placesOf(
    slots: readonly Types.Slot[],
  ): Pick<owned.Attempt, "workers" | "bootIds"> {
    const configured = this.scheduler.layout.workers;
    const workers = slots.map((slot) => configured[slot.worker]?.name ?? "?");
    const bootIds = workers.map((name) => this.links.get(name)?.bootId ?? null);
    return { workers, bootIds };
  }

  /** Requests a planning round. */
  wake(): void {
    Queue.offerUnsafe(this.wakeups, undefined);
  }

  /** Runs work in a fiber that is interrupted when the ownership ends. */
  fork(work: Effect.Effect<unknown>): void {
    const fiber = Effect.runFork(work);
    this.#fibers.add(fiber);
    fiber.addObserver(() => this.#fibers.delete(fiber));
  }

  /** Interrupts all fibers of this ownership. */
  interruptAll(): Effect.Effect<void> {
    return Fiber.interruptAll([...this.#fibers]);
  }
}

/** Creates an empty scheduler for a cell under a configuration. */
export function createScheduler(
  config: ports.ConfigInForce,
  cell: string,
): Scheduler.Scheduler {
  const layout = Scheduler.createCellLayout(config.cfg, cell);
  const policies = Scheduler.createPolicies(config.cfg.weighting);
  return new Scheduler.Scheduler(layout, policies);
}
