/**
 * Places one job. The following are tried in order:
 *
 * 1. the place that the packing policy chooses, bound to the team's guarantee
 *    if that covers it;
 * 2. a place inside the guarantee, without preemption;
 * 3. free capacity;
 * 4. a place inside the guarantee, with preemption;
 * 5. for urgent jobs, preemption of opportunistic jobs of lower tiers;
 * 6. for gangs that have waited, a block freed by moving smaller jobs.
 */
import * as Types from "@cairngate/types";
import * as guarantees from "./find_guaranteed.ts";
import * as preemption from "./find_with_preemption.ts";
import * as allocator from "./allocator.ts";
import * as entries from "./job_entry.ts";
import type * as occupancies from "./occupancy.ts";
import type * as policies from "./policies.ts";
import type * as reservations from "./reservations.ts";
import * as bindings from "./bind_running.ts";

/** State and policies that a placer uses. */
export interface PlacerOptions {
  readonly occupancy: occupancies.Occupancy;
  readonly reservations: reservations.Reservations;
  readonly policies: policies.SchedulerPolicies;
}

/** Time of an attempt, and the racks with a release since the last one. */
export interface PlaceAttempt {
  readonly nowMs: number;
  readonly racks: readonly number[];
}

/** Smallest job, in accelerators, for which running jobs are moved. */
const MIN_REPAIR_SIZE = 8;

/** Finds places for jobs. */
export class Placer {
  readonly #occupancy: occupancies.Occupancy;
  readonly #reservations: reservations.Reservations;
  readonly #policies: policies.SchedulerPolicies;
  readonly #allocator: allocator.Allocator;
  readonly #teams: ReadonlyMap<string, Types.TeamSpec>;

  constructor(options: PlacerOptions) {
    this.#occupancy = options.occupancy;
    this.#allocator = new allocator.Allocator(options.occupancy);
    this.#reservations = options.reservations;
    this.#policies = options.policies;
    this.#teams = new Map(
      options.occupancy.layout.teams.map((team) => [team.name, team]),
    );
  }

  /** Accelerators that a team has in use or claimed. */
  usedBy(team: string): number {
    return this.#allocator.usedBy(team);
  }

  /** Releases the slots, claims and guaranteed blocks of a job. */
  release(entry: entries.JobEntry): void {
    this.#allocator.release(entry);
  }

  /** Use of a team as a share of its guarantee, which counts as at least 1. */
  shareInUse(team: string): number {
    const guarantee = this.#teams.get(team)?.guarantee ?? [];
    const guaranteedCount = guarantee.reduce(
      (n, b) => n + b.accelerators * b.count,
      0,
    );
    return this.usedBy(team) / Math.max(1, guaranteedCount);
  }

  /** Whether the team would exceed its quota with this job. */
  isOverQuota(entry: entries.JobEntry): boolean {
    const quota = this.#teams.get(entry.shape.team)?.quota ?? 0;
    return this.usedBy(entry.shape.team) + entry.size > quota;
  }

  /** Claims slots for a job; null if it has to wait. */
  place(
    entry: entries.JobEntry,
    attempt: PlaceAttempt,
  ): allocator.PlacedJob | null {
    if (this.isOverQuota(entry)) return null;
    if (attempt.racks.length === 0) return null;
    return this.#placePacked(entry, attempt) ??
      this.#placeGuaranteed(entry, attempt, false) ??
      this.#placeFree(entry, attempt) ??
      this.#placeGuaranteed(entry, attempt, true) ??
      this.#preemptLowerTiers(entry, attempt) ??
      this.#repairBlock(entry, attempt);
  }

  /** Occupies the claimed slots after all victims have stopped. */
  start(entry: entries.JobEntry, nowMs: number): void {
    this.#occupancy.unclaim(entry);
    this.#occupancy.occupy(entry);
    entry.state = Types.JobState.Running;
    entry.startedAtMs = nowMs;
    const kind = entry.entitlement === Types.Entitlement.Guaranteed
      ? Types.ReasonKind.PlacedGuaranteed
      : Types.ReasonKind.PlacedOpportunistic;
    const detail = `on ${entry.slots.length} worker place(s)`;
    entries.addHistory(entry, kind, { atMs: nowMs, detail });
  }

  /** Adds a job that already runs on these slots. */
  restore(
    entry: entries.JobEntry,
    slots: readonly Types.Slot[],
    nowMs: number,
  ): void {
    entry.slots = slots;
    const boundIds = bindings.bindRunning(entry, this.#occupancy);
    if (boundIds === null) this.#allocator.hold(entry, { slots, boundIds: [] });
    else this.#allocator.hold(entry, { slots, boundIds });
    this.start(entry, nowMs);
  }

  #placeGuaranteed(
    entry: entries.JobEntry,
    attempt: PlaceAttempt,
    mayPreempt: boolean,
  ): allocator.PlacedJob | null {
    const occupancy = this.#occupancy;
    const search = { ...attempt, occupancy, mayPreempt };
    const place = guarantees.findGuaranteedPlace(entry, search);
    if (place === null) return null;
    return this.#allocator.claim(entry, place, attempt.nowMs);
  }

  /**
   * Chooses the place by packing alone, then binds the guarantee there if
   * possible. This keeps racks unfragmented, but a job may become opportunistic
   * although part of its team's guarantee is unused.
   */
  #placePacked(
    entry: entries.JobEntry,
    attempt: PlaceAttempt,
  ): allocator.PlacedJob | null {
    if (!this.#policies.packFirst || !entry.shape.repeatable) return null;
    const { nowMs, racks } = attempt;
    const allowed = (rack: number) =>
      this.#reservations.allows(rack, entry, nowMs);
    const slots = this.#policies.packing.find(
      this.#occupancy.space,
      entry,
      { racks, allowed },
    );
    if (slots === null) return null;
    entry.slots = slots;
    const boundIds = bindings.bindRunning(entry, this.#occupancy) ?? [];
    return this.#allocator.claim(entry, { slots, boundIds }, nowMs);
  }

  #placeFree(
    entry: entries.JobEntry,
    attempt: PlaceAttempt,
  ): allocator.PlacedJob | null {
    const { nowMs, racks } = attempt;
    const { space, unguaranteed, tracker } = this.#occupancy;
    const allowed = (rack: number) =>
      this.#reservations.allows(rack, entry, nowMs);
    const search = { racks, allowed };
    if (entry.shape.repeatable) {
      const slots = this.#policies.packing.find(space, entry, search);
      if (slots === null) return null;
      return this.#allocator.claim(entry, { slots, boundIds: [] }, nowMs);
    }
    const slots = this.#policies.packing.find(unguaranteed, entry, search);
    if (slots === null || !tracker.holdsAfterMarking(slots)) return null;
    return this.#allocator.claim(entry, { slots, boundIds: [] }, nowMs);
  }

  #preemptLowerTiers(
    entry: entries.JobEntry,
    attempt: PlaceAttempt,
  ): allocator.PlacedJob | null {
    const isUrgent = entry.shape.tier === Types.Tier.Urgent;
    if (!this.#policies.urgentPreempts || !isUrgent) return null;
    const mayPreempt = (victim: entries.JobEntry) =>
      victim.entitlement === Types.Entitlement.Opportunistic &&
      victim.shape.tier !== Types.Tier.Urgent;
    const place = this.#findPreemption(entry, attempt, mayPreempt);
    return place === null
      ? null
      : this.#allocator.claim(entry, place, attempt.nowMs);
  }

  #repairBlock(
    entry: entries.JobEntry,
    attempt: PlaceAttempt,
  ): allocator.PlacedJob | null {
    if (entry.size < MIN_REPAIR_SIZE) return null;
    const { repair } = this.#policies;
    const { nowMs } = attempt;
    if (!repair.hasBudget(entry, nowMs)) return null;
    const mayPreempt = (victim: entries.JobEntry) =>
      repair.mayMove(victim, entry);
    const place = this.#findPreemption(entry, attempt, mayPreempt);
    if (place === null || !repair.isJustified(entry, place, nowMs)) return null;
    if (!this.#hasRoomElsewhere(place)) return null;
    return this.#allocator.claim(entry, place, nowMs);
  }

  /** Whether the victims fit elsewhere; else they would only wait instead. */
  #hasRoomElsewhere(place: preemption.PreemptionPlace): boolean {
    const { space } = this.#occupancy;
    let needed = 0;
    for (const victim of place.victims) needed += victim.size;
    let inside = 0;
    for (const slot of place.slots) {
      inside += countBits(slot.mask & ~space.usedMask(slot.worker));
    }
    return space.freeTotal() - inside >= needed;
  }

  #findPreemption(
    entry: entries.JobEntry,
    attempt: PlaceAttempt,
    mayPreempt: (victim: entries.JobEntry) => boolean,
  ): preemption.PreemptionPlace | null {
    const place = preemption.findWithPreemption(entry, {
      ...attempt,
      occupancy: this.#occupancy,
      mayPreempt,
      allowed: (rack) => this.#reservations.allows(rack, entry, attempt.nowMs),
    });
    if (place === null || entry.shape.repeatable) return place;
    return this.#fitsBesideGuarantees(place.slots) ? place : null;
  }

  /** Whether all guarantees still hold with a job on these slots that can't yield. */
  #fitsBesideGuarantees(slots: readonly Types.Slot[]): boolean {
    const { tracker } = this.#occupancy;
    const isFree = slots.every((slot) =>
      (tracker.space.usedMask(slot.worker) & slot.mask) === 0
    );
    return isFree && tracker.holdsAfterMarking(slots);
  }
}

function countBits(mask: number): number {
  let count = 0;
  for (let rest = mask; rest !== 0; rest &= rest - 1) count++;
  return count;
}
