/** Tries alternatives in order; the next one starts when one fails or is slow. */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Options of firstSuccess. */
export interface FirstSuccessOptions {
  readonly clock: Ports.Clock;
  /** Time after which the next alternative starts beside the others, in ms. */
  readonly staggerMs: number;
}

/**
 * Starts the alternatives one after another and returns the first success. Once
 * every one has failed, it fails with all errors, in the order of the failures.
 */
export function firstSuccess<A, E>(
  alternatives: readonly Effect.Effect<A, E>[],
  options: FirstSuccessOptions,
): Effect.Effect<A, readonly E[]> {
  return Effect.gen(function* () {
    const failures: E[] = [];
    const outcome = Deferred.makeUnsafe<A, readonly E[]>();
    const start = (index: number): Effect.Effect<void> =>
      Effect.gen(function* () {
        if (index >= alternatives.length) return;
        const failed = Deferred.makeUnsafe<void>();
        const attempt = Effect.matchEffect(alternatives[index], {
          onSuccess: (value) => Deferred.succeed(outcome, value),
          onFailure: (err) => {
            failures.push(err);
            Deferred.doneUnsafe(failed, Effect.void);
            return failures.length === alternatives.length
              ? Deferred.fail(outcome, failures)
              : Effect.succeed(false);
          },
        });
        const beforeNext = options.clock.within(
          options.staggerMs,
          Deferred.await(failed),
        );
        const following = Effect.andThen(
          beforeNext,
          Effect.suspend(() => start(index + 1)),
        );
        yield* Effect.all([attempt, following], { concurrency: "unbounded" });
      });
    const attempts = Effect.andThen(start(0), Effect.never);
    return yield* Effect.raceFirst(Deferred.await(outcome), attempts);
  });
}
