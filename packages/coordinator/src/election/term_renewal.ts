/**
 * Renewal of a term. An unanswered write is not waited for: the store may have dropped
 * it, and other boxes take over before a write times out.
 */
import * as TableClient from "@cairngate/table-client";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import type * as grants from "./lease_grants.ts";
import * as leases from "./lease_value.ts";
import type * as terms from "./term.ts";

/** Timeout of one attempt, in ms: the next renewal is due then. */
const ATTEMPT_TIMEOUT_MS = 400;

/** Renews one term. */
export class TermRenewal {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: terms.Term;
  #renewedAtMs: number;

  constructor(coordinatorPorts: ports.CoordinatorPorts, term: terms.Term) {
    this.#ports = coordinatorPorts;
    this.#term = term;
    this.#renewedAtMs = coordinatorPorts.clock.monotonicMs();
  }

  /**
   * Renews once; ends with the outcome of the first attempt that is answered. Further
   * attempts are sent in parallel, after the usual response time and then at doubled
   * intervals.
   *
   * @param maxWaitMs longest time between two attempts, in ms
   */
  renew(maxWaitMs: number): Effect.Effect<void> {
    const { store, clock, metrics } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      const settled = Deferred.makeUnsafe<void>();
      let waitMs = Math.min(store.hedgeDelayMs, maxWaitMs);
      for (;;) {
        yield* Effect.forkChild(this.#attempt(settled));
        // After an outage, waiting work needs the next renewal at once.
        const isSettled = Effect.raceFirst(
          Effect.as(Deferred.await(settled), true),
          Effect.as(store.awaitRecovery(), false),
        );
        const timed = yield* clock.within(waitMs, isSettled);
        if (timed?.value === true) return;
        metrics.count("cairngate_renewals_repeated_total");
        waitMs = Math.min(waitMs * 2, maxWaitMs);
      }
    });
  }

  #attempt(settled: Deferred.Deferred<void>): Effect.Effect<void> {
    const { store } = this.#ports;
    const key = TableClient.Keys.COORDINATOR_LEASE_KEY;
    const attempt = Effect.suspend(() => {
      const renewal = this.#term.grants.announce();
      const write = store.write({
        conditions: [this.#term.condition],
        writes: [{ key, value: leaseOf(this.#term, renewal) }],
      }, ATTEMPT_TIMEOUT_MS);
      return Effect.map(write, () => this.#noteRenewed(renewal));
    });
    return attempt.pipe(
      Effect.catchTags({
        ConditionFailedError: () =>
          Effect.sync(() => this.#term.lose("the row has changed")),
        StoreUnavailableError: () => Effect.void,
      }),
      Effect.andThen(Deferred.succeed(settled, undefined)),
      Effect.asVoid,
    );
  }

  #noteRenewed(renewal: grants.SentRenewal): void {
    const { clock, metrics } = this.#ports;
    this.#term.grants.noteRenewed(renewal);
    const nowMs = clock.monotonicMs();
    const pauseMs = nowMs - this.#renewedAtMs;
    metrics.observeMs("cairngate_renewal_pause_seconds", pauseMs);
    this.#renewedAtMs = nowMs;
  }
}

/** Value of a renewal, with what the term publishes. */
function leaseOf(
  { forecast: made, memoryUse }: terms.Term,
  { sentAt: { monotonicMs: sentAtMs }, windowMs }: grants.SentRenewal,
) {
  const aged = made === null
    ? null
    : { forecast: made.forecast, ageMs: sentAtMs - made.madeAtMs };
  return leases.writeLease(sentAtMs, aged, windowMs, memoryUse());
}
