/** Records which job has which accelerators, and under which entitlement. */
import * as Types from "@cairngate/types";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";

/** Result of a claim: the job has its slots once all victims have stopped. */
export interface PlacedJob {
  readonly victims: ReadonlySet<entries.JobEntry>;
}

/** A place found for a job. */
export interface FoundPlace {
  readonly slots: readonly Types.Slot[];
  /** Bound block of each slot; empty for opportunistic jobs. */
  readonly boundIds?: number[];
  readonly victims?: Set<entries.JobEntry>;
}

/** Allocates places to jobs and releases them. */
export class Allocator {
  readonly #occupancy: occupancies.Occupancy;
  readonly #used = new Map<string, number>();

  constructor(occupancy: occupancies.Occupancy) {
    this.#occupancy = occupancy;
  }

  /** Accelerators that a team has in use or claimed. */
  usedBy(team: string): number {
    return this.#used.get(team) ?? 0;
  }

  /** Releases the slots, claims and guaranteed blocks of a job. */
  release(entry: entries.JobEntry): void {
    if (entry.slots.length === 0) return;
    this.#occupancy.unclaim(entry);
    this.#occupancy.vacate(entry);
    this.#releaseBlocks(entry);
    if (entry.isFixed) this.#setFixed(entry, false);
    this.#addUse(entry, -entry.size);
    for (const victim of entry.victims) victim.claimant = null;
    entry.victims = new Set();
    entry.claimant = null;
    entry.slots = [];
    entry.entitlement = null;
  }

  /** Claims a place and makes its victims yield; the job starts after they stop. */
  claim(
    entry: entries.JobEntry,
    place: FoundPlace,
    nowMs: number,
  ): PlacedJob {
    const victims = place.victims ?? new Set<entries.JobEntry>();
    this.hold(entry, place);
    this.#occupancy.claim(entry, entry.slots);
    entry.state = Types.JobState.Claiming;
    entry.victims = victims;
    for (const victim of victims) markYielding(victim, entry, nowMs);
    if (victims.size > 0) {
      const detail = `${victims.size} job(s) have to yield first`;
      const atMs = nowMs;
      entries.addHistory(entry, Types.ReasonKind.Claiming, { atMs, detail });
    }
    return { victims };
  }

  /** Records a place as allocated to a job. */
  hold(
    entry: entries.JobEntry,
    place: FoundPlace,
  ): void {
    entry.slots = place.slots;
    entry.boundIds = place.boundIds ?? [];
    const isGuaranteed = entry.boundIds.length > 0;
    entry.entitlement = isGuaranteed
      ? Types.Entitlement.Guaranteed
      : Types.Entitlement.Opportunistic;
    for (const id of entry.boundIds) {
      this.#occupancy.tracker.addJob(id, entry.shape.id, 1 << entry.order);
    }
    if (!isGuaranteed && !entry.shape.repeatable) this.#setFixed(entry, true);
    this.#addUse(entry, entry.size);
  }

  #setFixed(entry: entries.JobEntry, fixed: boolean): void {
    const { tracker } = this.#occupancy;
    entry.isFixed = fixed;
    for (const slot of entry.slots) {
      if (fixed) tracker.mark(slot.worker, slot.mask);
      else tracker.unmark(slot.worker, slot.mask);
      this.#occupancy.refresh(slot.worker);
    }
  }

  #releaseBlocks(entry: entries.JobEntry): void {
    const { tracker } = this.#occupancy;
    for (const id of new Set(entry.boundIds)) {
      const rack = tracker.get(id)?.rack;
      tracker.removeJob(id, entry.shape.id);
      if (rack !== undefined) this.#occupancy.refreshRack(rack);
    }
    entry.boundIds = [];
  }

  #addUse(entry: entries.JobEntry, delta: number): void {
    const { team } = entry.shape;
    this.#used.set(team, this.usedBy(team) + delta);
  }
}

function markYielding(
  victim: entries.JobEntry,
  claimant: entries.JobEntry,
  nowMs: number,
): void {
  victim.state = Types.JobState.Yielding;
  victim.claimant = claimant;
  entries.addHistory(victim, Types.ReasonKind.Yielded, {
    atMs: nowMs,
    detail: `to ${claimant.shape.id} of ${claimant.shape.team}`,
  });
}
