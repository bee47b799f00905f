/** Time as a dependency, so that tests can control it. */
import * as Effect from "effect/Effect";

/** Result of an effect with a timeout; null if the timeout elapsed first. */
export type TimeoutResult<A> = { readonly value: A } | null;

/** A moment by both clocks of a box, in ms. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Time between two moments in ms, by the clock that shows more of it: the monotonic clock
 * stops while the box is suspended, and the wall clock may be set back.
 */
export function elapsedMs(from: Moment, to: Moment): number {
  return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/** Port of time. */
export abstract class Clock {
  /** Wall-clock time in milliseconds since 1970; may jump in either direction. */
  abstract wallMs(): number;
  /** Milliseconds since an arbitrary origin; never decreases. */
  abstract monotonicMs(): number;
  /** The present moment. */
  now(): Moment {
    return { monotonicMs: this.monotonicMs(), wallMs: this.wallMs() };
  }

  /** Time since a moment in ms, which includes suspensions of the box. */
  elapsedMsSince(moment: Moment): number {
    return elapsedMs(moment, this.now());
  }

  /** Waits for `ms` milliseconds. */
  abstract sleep(ms: number): Effect.Effect<void>;

  /** Runs an effect for at most `ms` milliseconds; null on a timeout. */
  within<A, E>(
    ms: number,
    work: Effect.Effect<A, E>,
  ): Effect.Effect<TimeoutResult<A>, E> {
    const finished = Effect.map(work, (value): TimeoutResult<A> => ({ value }));
    const timedOut = Effect.map(this.sleep(ms), (): TimeoutResult<A> => null);
    return Effect.raceFirst(finished, timedOut);
  }

  /** Repeats an effect forever, pausing for `ms` milliseconds after each run. */
  every(ms: number, work: Effect.Effect<void>): Effect.Effect<never> {
    return Effect.forever(Effect.andThen(work, this.sleep(ms)));
  }
}
