/**
 * Reference scheduler: first come, first served, first fit. It has no tiers,
 * guarantees, quotas or preemption, so that its correctness is easy to see; the
 * bench compares every policy with it.
 */
import * as Scheduler from "@cairngate/scheduler";
import * as Types from "@cairngate/types";

const WORKERS_PER_RACK = 8;
const ACCELERATORS_PER_WORKER = 8;

interface NaiveJob {
  readonly shape: Types.JobShape;
  slots: Types.Slot[];
}

/** Starts jobs in order of arrival; a job that doesn't fit blocks all later ones. */
export class NaiveScheduler extends Scheduler.SchedulerCore {
  readonly #free: number[];
  readonly #allMasks: readonly number[];
  readonly #available: boolean[];
  readonly #jobs = new Map<string, NaiveJob>();
  #queue: NaiveJob[] = [];

  constructor(layout: Scheduler.CellLayout) {
    super();
    this.#allMasks = layout.workers.map((w) =>
      w === undefined ? 0 : (1 << w.accelerators) - 1
    );
    this.#free = [...this.#allMasks];
    this.#available = layout.workers.map(() => false);
  }

  override submit(shape: Types.JobShape): void {
    const job = { shape, slots: [] };
    this.#jobs.set(shape.id, job);
    this.#queue.push(job);
  }

  override finish(jobId: string): void {
    const job = this.#jobs.get(jobId);
    if (job === undefined) return;
    this.#release(job);
    this.#jobs.delete(jobId);
    this.#queue = this.#queue.filter((other) => other !== job);
  }

  override requeue(jobId: string): void {
    const job = this.#jobs.get(jobId);
    if (job === undefined) return;
    this.#release(job);
    this.#queue.push(job);
  }

  override setWorkerAvailable(worker: number, available: boolean): void {
    this.#available[worker] = available;
  }

  override plan(): Types.Decision[] {
    const decisions: Types.Decision[] = [];
    for (;;) {
      const [head] = this.#queue;
      if (head === undefined) return decisions;
      const slots = this.#firstFit(head.shape);
      if (slots === null) return decisions;
      this.#queue.shift();
      head.slots = slots;
      for (const { worker, mask } of slots) this.#free[worker] &= ~mask;
      decisions.push({
        kind: Types.DecisionKind.Start,
        jobId: head.shape.id,
        slots,
        entitlement: Types.Entitlement.Opportunistic,
      });
    }
  }

  #release(job: NaiveJob): void {
    for (const { worker, mask } of job.slots) this.#free[worker] |= mask;
    job.slots = [];
  }

  /** Slots in the first worker, rack or cell that fits all members. */
  #firstFit(shape: Types.JobShape): Types.Slot[] | null {
    const step = shape.adjacency === Types.Adjacency.Worker || shape.gang === 1
      ? 1
      : WORKERS_PER_RACK;
    const isAny = shape.adjacency === Types.Adjacency.Any;
    const workerCount = this.#free.length;
    for (
      let first = 0;
      first < workerCount;
      first += isAny ? workerCount : step
    ) {
      const end = isAny ? workerCount : first + step;
      const slots = this.#fillRange(shape, first, end);
      if (slots !== null) return slots;
    }
    return null;
  }

  #fillRange(
    shape: Types.JobShape,
    first: number,
    end: number,
  ): Types.Slot[] | null {
    const slots: Types.Slot[] = [];
    for (let worker = first; worker < end; worker++) {
      if (!this.#available[worker]) continue;
      let free = this.#free[worker];
      for (;;) {
        if (slots.length === shape.gang) return slots;
        const mask = lowestBits(free, shape.accelerators);
        if (mask === null) break;
        slots.push({ worker, mask });
        free &= ~mask;
      }
    }
    return slots.length === shape.gang ? slots : null;
  }
}

/** The lowest `count` set bits of a mask; null if there are fewer. */
function lowestBits(mask: number, count: number): number | null {
  let chosen = 0;
  let remaining = count;
  for (let bit = 0; bit < ACCELERATORS_PER_WORKER && remaining > 0; bit++) {
    if ((mask & (1 << bit)) === 0) continue;
    chosen |= 1 << bit;
    remaining--;
  }
  return remaining === 0 ? chosen : null;
}
