/** Limits the callers that wait on a box; lower tiers are rejected first. */
import * as Errors from "@cairngate/errors";
import type * as Metrics from "@cairngate/metrics";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";

/**
 * Share of the limit up to which callers of a tier are admitted. The rest is kept
 * for higher tiers.
 */
const ADMITTED_SHARE: Readonly<Record<Types.Tier, number>> = {
  [Types.Tier.Urgent]: 1,
  [Types.Tier.Standard]: 0.8,
  [Types.Tier.Batch]: 0.6,
};

/** When a rejected caller may try again, in seconds. */
const RETRY_AFTER_S: Readonly<Record<Types.Tier, number>> = {
  [Types.Tier.Urgent]: 1,
  [Types.Tier.Standard]: 2,
  [Types.Tier.Batch]: 5,
};

/** Counts the callers that wait on this box and rejects those above the limit. */
export class Admission {
  readonly #limit: number;
  readonly #metrics: Metrics.Metrics;
  #waiting = 0;

  constructor(limit: number, metrics: Metrics.Metrics) {
    this.#limit = limit;
    this.#metrics = metrics;
  }

  /** Number of callers that currently wait. */
  get waiting(): number {
    return this.#waiting;
  }

  /**
   * Runs `work` and counts its caller as waiting until it ends. Fails with
   * OverloadedError, without running it, when the tier's share of the limit is used.
   */
  admit<A, E>(
    tier: Types.Tier,
    work: Effect.Effect<A, E>,
  ): Effect.Effect<A, E | Errors.OverloadedError> {
    return Effect.suspend((): Effect.Effect<A, E | Errors.OverloadedError> => {
      if (this.#waiting >= this.#limit * ADMITTED_SHARE[tier]) {
        this.#metrics.count("cairngate_shed_total", { tier });
        return Effect.fail(
          new Errors.OverloadedError({
            limit: `waiting callers of tier ${tier}`,
            retryAfterSeconds: RETRY_AFTER_S[tier],
          }),
        );
      }
      this.#waiting++;
      const decrement = Effect.sync(() => {
        this.#waiting--;
      });
      return Effect.ensuring(work, decrement);
    });
  }
}
