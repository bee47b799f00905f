/** Reserves racks for waiting gangs, and backfills them with short jobs. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import * as packing from "./packing_policy.ts";

/** Racks reserved for one gang. */
export interface Reservation {
  readonly entry: entries.JobEntry;
  readonly racks: ReadonlySet<number>;
  /** When the blocks are expected to be free; may have passed. */
  readonly atMs: number;
}

/** Reservations of one cell. */
export class Reservations {
  readonly #byJob = new Map<string, Reservation>();
  readonly #byRack = new Map<number, Reservation>();
  readonly #limit: number;

  /** @param limit largest number of racks that may be reserved at once */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** The reservation of a job. */
  get(jobId: string): Reservation | undefined {
    return this.#byJob.get(jobId);
  }

  /** All reservations. */
  all(): Iterable<Reservation> {
    return this.#byJob.values();
  }

  /** Whether a job may be placed in a rack without delaying a reservation. */
  allows(rack: number, entry: entries.JobEntry, nowMs: number): boolean {
    const reservation = this.#byRack.get(rack);
    if (reservation === undefined || reservation.entry === entry) return true;
    const isAbove = Types.rankTier(entry.shape.tier) <
      Types.rankTier(reservation.entry.shape.tier);
    if (isAbove) return true;
    if (entry.shape.estimateMs === null) return false;
    return nowMs + entries.remainingMs(entry) <= reservation.atMs;
  }

  /** Removes the reservation of a job; its racks count as released. */
  drop(jobId: string, occupancy: occupancies.Occupancy): void {
    const reservation = this.#byJob.get(jobId);
    if (reservation === undefined) return;
    this.#byJob.delete(jobId);
    for (const rack of reservation.racks) {
      this.#byRack.delete(rack);
      occupancy.noteRelease(rack);
    }
  }

  /** Reserves racks for a gang that does not fit now, if the limit allows. */
  reserve(
    entry: entries.JobEntry,
    occupancy: occupancies.Occupancy,
    nowMs: number,
  ): void {
    const current = this.#byJob.get(entry.shape.id);
    // A reservation whose time has passed stays: it then admits no further jobs
    // of its tier or below, so wrong estimates can't delay the gang for ever.
    if (current !== undefined && this.#isUsable(current, occupancy)) return;
    this.drop(entry.shape.id, occupancy);
    if (this.#byRack.size >= this.#limit) return;
    const found = this.#findEarliest(entry, occupancy, nowMs);
    if (found === null) return;
    if (this.#byRack.size + found.racks.size > this.#limit) return;
    this.#byJob.set(entry.shape.id, found);
    for (const rack of found.racks) this.#byRack.set(rack, found);
  }

  /** Whether every reserved rack still has an available worker. */
  #isUsable(
    reservation: Reservation,
    occupancy: occupancies.Occupancy,
  ): boolean {
    return [...reservation.racks].every((rack) => {
      const first = rack * Placement.WORKERS_PER_RACK;
      for (let i = first; i < first + Placement.WORKERS_PER_RACK; i++) {
        if (occupancy.isAvailable(i)) return true;
      }
      return false;
    });
  }

  #findEarliest(
    entry: entries.JobEntry,
    occupancy: occupancies.Occupancy,
    nowMs: number,
  ): Reservation | null {
    const inOneRack = entry.shape.adjacency !== Types.Adjacency.Any;
    const times = this.#freeRacks(occupancy).map((rack) => ({
      rack,
      ends: blockEnds(entry, rack, { occupancy, nowMs }),
    }));
    if (inOneRack) return earliestInOneRack(entry, times);
    return earliestInOneRack(entry, times) ?? earliestAcrossRacks(entry, times);
  }

  #freeRacks(occupancy: occupancies.Occupancy): number[] {
    return occupancy.layout.racks
      .map((_, rack) => rack)
      .filter((rack) => !this.#byRack.has(rack));
  }
}

interface RackTimes {
  readonly rack: number;
  /** Times at which blocks of the required order become free, ascending. */
  readonly ends: number[];
}

function earliestInOneRack(
  entry: entries.JobEntry,
  times: readonly RackTimes[],
): Reservation | null {
  const last = entry.shape.gang - 1;
  let best: Reservation | null = null;
  for (const { rack, ends } of times) {
    const atMs = ends[last];
    if (atMs === undefined) continue;
    if (best === null || atMs < best.atMs) {
      best = { entry, racks: new Set([rack]), atMs };
    }
  }
  return best;
}

function earliestAcrossRacks(
  entry: entries.JobEntry,
  times: readonly RackTimes[],
): Reservation | null {
  const all = times.flatMap(({ rack, ends }) =>
    ends.map((atMs) => ({ rack, atMs }))
  );
  if (all.length < entry.shape.gang) return null;
  all.sort((a, b) => a.atMs - b.atMs);
  const chosen = all.slice(0, entry.shape.gang);
  return {
    entry,
    racks: new Set(chosen.map((c) => c.rack)),
    atMs: chosen[chosen.length - 1].atMs,
  };
}

function blockEnds(
  entry: entries.JobEntry,
  rack: number,
  at: { occupancy: occupancies.Occupancy; nowMs: number },
): number[] {
  const size = Placement.sizeOf(entry.order);
  const ends: number[] = [];
  for (let i = 0; i < Placement.ACCELERATORS_PER_RACK; i += size) {
    const end = slotEnd(packing.slotAt(rack, i, size), at);
    if (end !== null) ends.push(end);
  }
  return ends.sort((a, b) => a - b);
}

/** Estimated time at which a slot becomes free; null if unavailable or claimed. */
function slotEnd(
  slot: Types.Slot,
  at: { occupancy: occupancies.Occupancy; nowMs: number },
): number | null {
  const { occupancy, nowMs } = at;
  if (!occupancy.isAvailable(slot.worker)) return null;
  if ((occupancy.space.usedMask(slot.worker) & slot.mask) === 0) return nowMs;
  const tasks = occupancy.tasksIn(slot);
  if (tasks.length === 0 || occupancy.isClaimed(slot)) return null;
  let end = nowMs;
  for (const task of tasks) {
    end = Math.max(end, entries.estimatedEndMs(task, nowMs));
  }
  return end;
}
