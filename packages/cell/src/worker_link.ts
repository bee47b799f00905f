/**
 * Connection of a cell's owner to one worker. It fences the worker, which then
 * rejects orders of lower epochs, and receives its reports by long polling.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";

/** Receives the state changes of workers. */
export abstract class WorkerListener {
  /** The worker has accepted this owner's epoch and listed all its tasks. */
  abstract onInventory(worker: string, inventory: Types.Inventory): void;
  /** Some of the worker's tasks have changed. */
  abstract onReport(worker: string, report: Types.WorkerReport): void;
  /** The worker does not answer; its tasks may still run. */
  abstract onUnreachable(worker: string): void;
  /** The worker has not answered for long, or has restarted. */
  abstract onGone(worker: string): void;
}

const FENCE_TIMEOUT_MS = 2000;
// Bounds of the pause between two attempts, which doubles each time.
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;
/** A worker that does not answer for this long counts as gone. */
export const GONE_AFTER_MS = 10_000;
/** Time for the reply to a report request beyond its long-polling wait. */
const REPORT_MARGIN_MS = 2000;

/** Fences one worker and receives its reports. */
export class WorkerLink {
  readonly worker: Types.WorkerSpec;
  readonly #ports: ports.CellPorts;
  readonly #lease: leases.OwnerLease;
  readonly #listener: WorkerListener;
  #acknowledged: Types.TaskKey[] = [];
  #bootId: string | null = null;
  #silentSinceMs: number | null = null;
  #isGone = false;

  constructor(
    options: {
      worker: Types.WorkerSpec;
      ports: ports.CellPorts;
      lease: leases.OwnerLease;
      listener: WorkerListener;
    },
  ) {
    this.worker = options.worker;
    this.#ports = options.ports;
    this.#lease = options.lease;
    this.#listener = options.listener;
  }

  /** Changes when the worker restarts; null before the worker is fenced. */
  get bootId(): string | null {
    return this.#bootId;
  }

  /** Whether the worker is fenced and answers. */
  get isFenced(): boolean {
    return this.#bootId !== null && this.#silentSinceMs === null;
  }

  /** Lets the worker forget a finished task; sent with the next report request. */
  acknowledge(key: Types.TaskKey): void {
    const { jobId, attempt, rank } = key;
    this.#acknowledged.push({ jobId, attempt, rank });
  }

  /** Keeps the worker fenced and receives its reports until interrupted. */
  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      const { clock, random } = this.#ports;
      let backoffMs = MIN_BACKOFF_MS;
      for (;;) {
        const inventory = yield* this.#fence();
        if (inventory !== null) {
          backoffMs = MIN_BACKOFF_MS;
          yield* this.#receiveReports(inventory);
        }
        this.#noteUnreachable();
        yield* clock.sleep(random.jitter(backoffMs));
        backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
      }
    });
  }

  #fence(): Effect.Effect<Types.Inventory | null> {
    const { cell, epoch } = this.#lease;
    const { endpoint } = this.worker;
    const request = this.#ports.workers.fence(endpoint, { cell, epoch });
    return this.#call(FENCE_TIMEOUT_MS, request);
  }

  #receiveReports(inventory: Types.Inventory): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#noteAlive(inventory.bootId);
      this.#listener.onInventory(this.worker.name, inventory);
      let { version } = inventory;
      for (;;) {
        const report = yield* this.#report(version);
        if (report === null) return;
        if (report.bootId !== inventory.bootId) return;
        version = report.version;
        this.#listener.onReport(this.worker.name, report);
      }
    });
  }

  #report(sinceVersion: number): Effect.Effect<Types.WorkerReport | null> {
    const { cell, epoch } = this.#lease;
    const waitMs = this.#ports.times.reportWaitMs;
    const acknowledged = this.#acknowledged;
    this.#acknowledged = [];
    const request = {
      fence: { cell, epoch },
      sinceVersion,
      waitMs,
      acknowledged,
    };
    this.#ports.metrics.count("cairngate_worker_reports_total");
    const report = this.#ports.workers.report(this.worker.endpoint, request);
    return this.#call(waitMs + REPORT_MARGIN_MS, report);
  }

  /** Returns the reply, or null after a timeout or failure. */
  #call<A>(
    timeoutMs: number,
    call: Effect.Effect<A, Ports.WorkerError>,
  ): Effect.Effect<A | null> {
    return this.#ports.clock.within(timeoutMs, call).pipe(
      Effect.map((timed) => timed?.value ?? null),
      Effect.catch((err) =>
        Effect.sync(() => {
          this.#noteRefusal(err);
          return null;
        })
      ),
    );
  }

  #noteRefusal(err: Ports.WorkerError): void {
    if (err._tag !== "WorkerRefusedError") return;
    if (err.reason !== Errors.RefusalReason.StaleEpoch) return;
    this.#lease.noteEpoch(err.epoch, `worker ${this.worker.name}`);
  }

  #noteAlive(bootId: string): void {
    const { log } = this.#ports;
    if (this.#bootId !== null && this.#bootId !== bootId) {
      log.warn(`Worker ${this.worker.name} has restarted.`);
      this.#listener.onGone(this.worker.name);
    }
    this.#bootId = bootId;
    this.#silentSinceMs = null;
    this.#isGone = false;
  }

  #noteUnreachable(): void {
    const nowMs = this.#ports.clock.monotonicMs();
    if (this.#silentSinceMs === null) {
      this.#silentSinceMs = nowMs;
      this.#listener.onUnreachable(this.worker.name);
    }
    if (this.#isGone || nowMs - this.#silentSinceMs < GONE_AFTER_MS) return;
    this.#isGone = true;
    this.#ports.log.warn(`Worker ${this.worker.name} is gone.`);
    this.#listener.onGone(this.worker.name);
  }
}
