/** When running work is moved to open a block for a waiting gang. */
import * as Types from "@cairngate/types";
import type * as eviction from "./find_with_eviction.ts";
import type * as entries from "./job_entry.ts";

/** Decides whether opening a block pays. */
export abstract class RepairPolicy {
  /** Whether the price of a place is worth paying for a waiting gang. */
  abstract pays(
    gang: entries.JobEntry,
    place: eviction.EvictionPlace,
    nowMs: number,
  ): boolean;

  /** Whether a running job may be moved for a waiting gang. */
  mayMove(victim: entries.JobEntry, gang: entries.JobEntry): boolean {
    const isSmaller = victim.size < gang.size;
    const isOpportunistic =
      victim.entitlement === Types.Entitlement.Opportunistic;
    const isNotAbove = Types.rankTier(victim.shape.tier) >=
      Types.rankTier(gang.shape.tier);
    return isSmaller && isOpportunistic && isNotAbove;
  }
}

/** Never moves running work. */
export class NoRepair extends RepairPolicy {
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

  override pays(
    gang: entries.JobEntry,
    place: eviction.EvictionPlace,
    nowMs: number,
  ): boolean {
    const waited = nowMs - gang.shape.submittedAtMs;
    return place.cost < this.#share * waited * gang.size;
  }
}
