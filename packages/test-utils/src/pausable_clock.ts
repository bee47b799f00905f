/** Clock of one box that a test can pause, as SIGSTOP pauses a process. */
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Follows another clock, but wakes no sleeper while it is paused. */
export class PausableClock extends Ports.Clock {
  readonly #inner: Ports.Clock;
  #resumed: Deferred.Deferred<void> | null = null;

  constructor(inner: Ports.Clock) {
    super();
    this.#inner = inner;
  }

  override wallMs(): number {
    return this.#inner.wallMs();
  }

  override monotonicMs(): number {
    return this.#inner.monotonicMs();
  }

  override sleep(ms: number): Effect.Effect<void> {
    return Effect.andThen(this.#inner.sleep(ms), this.awaitRunning());
  }

  /** Waits while the box is paused. */
  awaitRunning(): Effect.Effect<void> {
    return Effect.suspend(() =>
      this.#resumed === null ? Effect.void : Deferred.await(this.#resumed)
    );
  }

  /** Pauses the box. */
  pause(): void {
    this.#resumed ??= Deferred.makeUnsafe<void>();
  }

  /** Resumes the box. */
  resume(): void {
    const resumed = this.#resumed;
    this.#resumed = null;
    if (resumed !== null) Deferred.doneUnsafe(resumed, Effect.void);
  }
}
