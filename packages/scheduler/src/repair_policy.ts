/** When running work is moved to open a block for a waiting gang. */
import * as Types from "@cairngate/types";
import type * as eviction from "./find_with_eviction.ts";
import type * as entries from "./job_entry.ts";

/** Least price of moving anything, in accelerator-milliseconds. */
const RESTART_COST = 30_000;

/** A gang moves only jobs that are this many times smaller than itself. */
const MOVE_RATIO = 2;

/** Decides whether opening a block pays. */
export abstract class RepairPolicy {
  /** Whether any price could be worth paying yet; saves the search. */
  abstract mayPay(gang: entries.JobEntry, nowMs: number): boolean;

  /** Whether the price of a place is worth paying for a waiting gang. */
  abstract pays(
    gang: entries.JobEntry,
    place: eviction.EvictionPlace,
    nowMs: number,
  ): boolean;

  /** Whether a running job may be moved for a waiting gang. */
  mayMove(victim: entries.JobEntry, gang: entries.JobEntry): boolean {
    const isSmaller = victim.size * MOVE_RATIO <= gang.size;
    const isOpportunistic =
      victim.entitlement === Types.Entitlement.Opportunistic;
    const isNotAbove = Types.rankTier(victim.shape.tier) >=
      Types.rankTier(gang.shape.tier);
    return isSmaller && isOpportunistic && isNotAbove;
  }
}

/** Never moves running work. */
export class NoRepair extends RepairPolicy {
  override mayPay(): boolean {
    return false;
  }

  override pays(): boolean {
    return false;
  }
}

/**
 * Moves work once the gang has waited long enough that the accelerator time
 * lost is less than a share of what the gang has already waited for.
 */
export class OpenBlocks extends RepairPolicy {
  readonly #share: number;

  constructor(share: number) {
    super();
    this.#share = share;
  }

  override mayPay(gang: entries.JobEntry, nowMs: number): boolean {
    return this.#budget(gang, nowMs) > RESTART_COST;
  }

  override pays(
    gang: entries.JobEntry,
    place: eviction.EvictionPlace,
    nowMs: number,
  ): boolean {
    return place.cost < this.#budget(gang, nowMs);
  }

  /** Accelerator-milliseconds that may be lost for the gang. */
  #budget(gang: entries.JobEntry, nowMs: number): number {
    const waited = nowMs - gang.shape.submittedAtMs;
    return this.#share * waited * gang.size;
  }
}
