/** Policies for moving running jobs to free a block for a waiting gang. */
import * as Types from "@cairngate/types";
import type * as preemption from "./find_with_preemption.ts";
import type * as entries from "./job_entry.ts";

/** Lower bound of the cost of any move, in accelerator-milliseconds. */
const MIN_MOVE_COST = 30_000;

/** Least ratio of the sizes of a gang and of a job that is moved for it. */
const MIN_SIZE_RATIO = 2;

/** Decides whether moving jobs is worth its cost. */
export abstract class RepairPolicy {
  /** Whether the gang could afford any move yet; if not, no search is needed. */
  abstract hasBudget(gang: entries.JobEntry, nowMs: number): boolean;

  /** Whether a place is worth its cost to a waiting gang. */
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

/** Never moves running jobs. */
export class NoRepair extends RepairPolicy {
  override hasBudget(): boolean {
    return false;
  }

  override isJustified(): boolean {
    return false;
  }
}

/**
 * Moves jobs if the accelerator time lost is less than a share of the
 * accelerator time that the gang has spent waiting.
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
