/**
 * Clock of one box that can be suspended, which stops its monotonic clock, or frozen, as
 * SIGSTOP does it, which stops the box only.
 */
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Rounding error of sums of times, in ms. */
const ROUNDING_MS = 0.001;

/** Follows another clock except while the box is suspended. */
export class SuspendableClock extends Ports.Clock {
  readonly #inner: Ports.Clock;
  /** Total time of past suspensions, in ms. */
  #suspendedMs = 0;
  #suspendedAtMs: number | null = null;
  #isFrozen = false;
  #resumed = Deferred.makeUnsafe<void>();
  /** Offset of the wall clock, in ms; tests set it. */
  wallAheadMs = 0;

  constructor(inner: Ports.Clock) {
    super();
    this.#inner = inner;
  }

  /** Wall-clock time, which advances during a suspension. */
  override wallMs(): number {
    return this.#inner.wallMs() + this.wallAheadMs;
  }

  override monotonicMs(): number {
    return (this.#suspendedAtMs ?? this.#inner.monotonicMs()) -
      this.#suspendedMs;
  }

  /** Sleeps by the monotonic clock. */
  override sleep(ms: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const untilMs = this.monotonicMs() + ms;
      for (;;) {
        yield* this.awaitRunning();
        const leftMs = untilMs - this.monotonicMs();
        if (leftMs <= ROUNDING_MS) return;
        yield* this.#inner.sleep(leftMs);
      }
    });
  }

  /** Whether the box is suspended. */
  get isSuspended(): boolean {
    return this.#suspendedAtMs !== null;
  }

  /** Waits while the box is stopped, so that it reads messages only afterwards. */
  awaitRunning(): Effect.Effect<void> {
    return Effect.suspend(() =>
      this.#isStopped ? Deferred.await(this.#resumed) : Effect.void
    );
  }

  /** Suspends the box. */
  suspend(): void {
    if (this.#isStopped) return;
    this.#resumed = Deferred.makeUnsafe<void>();
    this.#suspendedAtMs = this.#inner.monotonicMs();
  }

  /** Stops the box while its monotonic clock goes on. */
  freeze(): void {
    if (this.#isStopped) return;
    this.#resumed = Deferred.makeUnsafe<void>();
    this.#isFrozen = true;
  }

  /** Resumes the box; its monotonic clock skips a suspension. */
  resume(): void {
    if (!this.#isStopped) return;
    if (this.#suspendedAtMs !== null) {
      this.#suspendedMs += this.#inner.monotonicMs() - this.#suspendedAtMs;
    }
    this.#suspendedAtMs = null;
    this.#isFrozen = false;
    Deferred.doneUnsafe(this.#resumed, Effect.void);
  }

  get #isStopped(): boolean {
    return this.isSuspended || this.#isFrozen;
  }
}
