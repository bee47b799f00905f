/** When running work is moved to open a block for a waiting gang. */
import * as Types from "@cairngate/types";
import type * as preemption from "./find_with_eviction.ts";
import type * as entries from "./job_entry.ts";

/** Least price of moving anything, in accelerator-milliseconds. */
const MIN_MOVE_COST = 30_000;

/** A gang moves only jobs that are this many times smaller than itself. */
const MIN_SIZE_RATIO = 2;

/** Decides whether opening a block pays. */
export abstract class RepairPolicy {
  /** Whether any price could be worth paying yet; saves the search. */
  abstract hasBudget(gang: entries.JobEntry, nowMs: number): boolean;

  /** Whether the price of a place is worth paying for a waiting gang. */
  abstract isJustified(
    gang: entries.JobEntry,
    place: preemption.PreemptionPlace,
    nowMs: number,
  ): boolean;

  /** Whether a running job may be moved for a waiting gang. */
  mayMove(victim: entries.JobEntry, gang: entries.JobEntry): boolean {
    const isSmaller = victim.size * MIN_SIZE_RATIO <= gang.size;
    const isOpportunistic =
      victim.entitlement === Types.Entitlement.Opportunistic;
    const isNotAbove = Types.rankTier(victim.shape.tier) >=
      Types.rankTier(gang.shape.tier);
    return isSmaller && isOpportunistic && isNotAbove;
  }
}

/** Never moves running work. */
export class NoRepair extends RepairPolicy {
  override hasBudget(): boolean {
    return false;
  }

  override isJustified(): boolean {
    return false;
  }
}

/**
 * Moves work once the gang has waited long enough that the accelerator time
 * lost is less than a share of what the gang has already waited for.
 */
export class BudgetedRepair extends RepairPolicy {
  readonly #share: number;

  constructor(share: number) {
    super();
    this.#share = share;
  }

  override hasBudget(gang: entries.JobEntry, nowMs: number): boolean {
    return this.#budget(gang, nowMs) > MIN_MOVE_COST;
  }

  override isJustified(
    gang: entries.JobEntry,
    place: preemption.PreemptionPlace,
    nowMs: number,
  ): boolean {
    return place.cost < this.#budget(gang, nowMs);
  }

  /** Accelerator-milliseconds that may be lost for the gang. */
  #budget(gang: entries.JobEntry, nowMs: number): number {
    const waitedMs = nowMs - gang.shape.submittedAtMs;
    return this.#share * waitedMs * gang.size;
  }
}
