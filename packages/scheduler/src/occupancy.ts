/** Which job occupies or has claimed each accelerator of a cell. */
import * as Placement from "@cairngate/placement";
import * as Types from "@cairngate/types";
import * as guarantees from "./check_guarantees.ts";
import type * as entries from "./job_entry.ts";
import type * as layouts from "./layout.ts";

/** Bits of a worker's mask, one per accelerator. */
const MASK_BITS = 8;

/** Occupancy of a cell's accelerators, and the state of its guarantees. */
export class Occupancy {
  readonly layout: layouts.CellLayout;
  /** Free here: available, without a task and without a claim. */
  readonly space: Placement.BuddySpace;
  /** Free here: free in `space`, and neither bound nor marked in `tracker`. */
  readonly unguaranteed: Placement.BuddySpace;
  readonly tracker: Placement.GuaranteeTracker;
  readonly #tasks: (entries.JobEntry | null)[];
  readonly #claims: (entries.JobEntry | null)[];
  readonly #missing: Uint8Array;
  readonly #available: boolean[];
  readonly #releasedAt: Int32Array;
  readonly #allRacks: readonly number[];
  #changed: { since: number; at: number; racks: readonly number[] };
  #releases = 0;

  /** Starts with every worker unavailable. */
  constructor(layout: layouts.CellLayout) {
    const racks = layout.racks.length;
    this.layout = layout;
    this.space = new Placement.BuddySpace(racks);
    this.unguaranteed = new Placement.BuddySpace(racks);
    this.tracker = new Placement.GuaranteeTracker(
      racks,
      guarantees.listDemands(layout.teams),
    );
    const workers = layout.workers.length;
    this.#tasks = new Array(workers * MASK_BITS).fill(null);
    this.#claims = new Array(workers * MASK_BITS).fill(null);
    this.#available = new Array(workers).fill(false);
    this.#releasedAt = new Int32Array(racks);
    this.#allRacks = layout.racks.map((_, rack) => rack);
    this.#changed = { since: -1, at: 0, racks: this.#allRacks };
    this.#missing = Uint8Array.from(layout.workers, guarantees.missingMask);
    for (let worker = 0; worker < workers; worker++) {
      this.tracker.mark(worker, Placement.FULL_MASK);
      this.refresh(worker);
    }
  }

  /** Count of releases; lanes blocked at a lower count are tried again. */
  get releases(): number {
    return this.#releases;
  }

  /** Racks with a release after the given count of releases; all if negative. */
  racksReleasedSince(since: number): readonly number[] {
    if (since < 0) return this.#allRacks;
    const { releases } = this;
    if (this.#changed.since !== since || this.#changed.at !== releases) {
      const racks = this.#allRacks.filter((r) => this.#releasedAt[r] > since);
      this.#changed = { since, at: releases, racks };
    }
    return this.#changed.racks;
  }

  /** Counts a release: the rack may now have room for other jobs. */
  noteRelease(rack: number): void {
    this.#releases++;
    this.#releasedAt[rack] = this.#releases;
  }

  /** Whether new work may be placed on a worker. */
  isAvailable(worker: number): boolean {
    return this.#available[worker];
  }

  /** Sets whether new work may be placed on a worker. */
  setAvailable(worker: number, available: boolean): void {
    if (this.#available[worker] === available) return;
    const own = Placement.FULL_MASK & ~this.#missing[worker];
    this.#available[worker] = available;
    if (available) this.tracker.unmark(worker, own);
    else this.tracker.mark(worker, own);
    this.refresh(worker);
    this.noteRelease(Math.floor(worker / Placement.WORKERS_PER_RACK));
  }

  /** The job whose task occupies an accelerator. */
  taskAt(worker: number, bit: number): entries.JobEntry | null {
    return this.#tasks[worker * MASK_BITS + bit];
  }

  /** Jobs whose tasks overlap a slot, each listed once. */
  tasksIn(slot: Types.Slot): entries.JobEntry[] {
    const found: entries.JobEntry[] = [];
    for (let bit = 0; bit < MASK_BITS; bit++) {
      if ((slot.mask & (1 << bit)) === 0) continue;
      const entry = this.#tasks[slot.worker * MASK_BITS + bit];
      if (entry !== null && !found.includes(entry)) found.push(entry);
    }
    return found;
  }

  /** Whether any accelerator of a slot is claimed. */
  isClaimed(slot: Types.Slot): boolean {
    for (let bit = 0; bit < MASK_BITS; bit++) {
      if ((slot.mask & (1 << bit)) === 0) continue;
      if (this.#claims[slot.worker * MASK_BITS + bit] !== null) return true;
    }
    return false;
  }

  /** Records the tasks of a job on its slots. */
  occupy(entry: entries.JobEntry): void {
    this.#setAll(this.#tasks, entry.slots, entry);
  }

  /** Removes the tasks of a job from its slots. */
  vacate(entry: entries.JobEntry): void {
    this.#clearAll(this.#tasks, entry);
  }

  /** Claims slots for a job whose victims still occupy them. */
  claim(entry: entries.JobEntry, slots: readonly Types.Slot[]): void {
    this.#setAll(this.#claims, slots, entry);
  }

  /** Removes the claim of a job. */
  unclaim(entry: entries.JobEntry): void {
    this.#clearAll(this.#claims, entry);
  }

  /** Recomputes the used masks of one worker. */
  refresh(worker: number): void {
    let used = this.#missing[worker];
    if (!this.#available[worker]) used = Placement.FULL_MASK;
    for (let bit = 0; bit < MASK_BITS; bit++) {
      const at = worker * MASK_BITS + bit;
      if (this.#tasks[at] !== null || this.#claims[at] !== null) {
        used |= 1 << bit;
      }
    }
    this.space.setUsedMask(worker, used);
    this.unguaranteed.setUsedMask(
      worker,
      used | this.tracker.space.usedMask(worker),
    );
  }

  /** Recomputes the used masks of all workers of a rack. */
  refreshRack(rack: number): void {
    const first = rack * Placement.WORKERS_PER_RACK;
    for (let i = 0; i < Placement.WORKERS_PER_RACK; i++) {
      this.refresh(first + i);
    }
  }

  #setAll(
    into: (entries.JobEntry | null)[],
    slots: readonly Types.Slot[],
    entry: entries.JobEntry | null,
  ): void {
    for (const slot of slots) {
      for (let bit = 0; bit < MASK_BITS; bit++) {
        if (slot.mask & (1 << bit)) into[slot.worker * MASK_BITS + bit] = entry;
      }
      this.refresh(slot.worker);
    }
  }

  /** Clears only entries that still refer to this job. */
  #clearAll(
    from: (entries.JobEntry | null)[],
    entry: entries.JobEntry,
  ): void {
    for (const slot of entry.slots) {
      for (let bit = 0; bit < MASK_BITS; bit++) {
        const at = slot.worker * MASK_BITS + bit;
        if ((slot.mask & (1 << bit)) && from[at] === entry) from[at] = null;
      }
      this.refresh(slot.worker);
      this.noteRelease(Math.floor(slot.worker / Placement.WORKERS_PER_RACK));
    }
  }
}
