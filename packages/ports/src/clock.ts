/** Time, passed in so that tests can control it. */
import * as Effect from "effect/Effect";

/** Result of work that was given a time limit. */
export type Timed<A> = { readonly value: A } | null;

/** A source of time. */
export abstract class Clock {
  /** Wall-clock time in milliseconds since 1970; may jump. */
  abstract wallMs(): number;
  /** Milliseconds since some start; never goes back. */
  abstract monotonicMs(): number;
  /** Waits. */
  abstract sleep(ms: number): Effect.Effect<void>;

  /** Runs work for at most `ms`; null when the time is up. */
  within<A, E>(
    ms: number,
    work: Effect.Effect<A, E>,
  ): Effect.Effect<Timed<A>, E> {
    const finished = Effect.map(work, (value): Timed<A> => ({ value }));
    const timedOut = Effect.map(this.sleep(ms), (): Timed<A> => null);
    return Effect.raceFirst(finished, timedOut);
  }

  /** Repeats work for ever with a pause after each run. */
  every(ms: number, work: Effect.Effect<void>): Effect.Effect<never> {
    return Effect.forever(Effect.andThen(work, this.sleep(ms)));
  }
}
