/** Tries several ways of doing the same, the next where one fails or lags. */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** How the ways are tried. */
export interface FirstSuccessOptions {
  readonly clock: Ports.Clock;
  /** Time after which the next way is tried beside the ones before. */
  readonly staggerMs: number;
}

/**
 * Starts the ways one after another and ends with the first success. Fails with
 * the errors of all of them, in order, once every one has failed.
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
