/** The clock of one box that can be suspended: its steady clock stands then. */
import * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Less than this, in ms, is what adding and taking away times leaves over. */
const ROUNDING_MS = 0.001;

/** Follows another clock, but for the times in which the box is suspended. */
export class SuspendableClock extends Ports.Clock {
  readonly #inner: Ports.Clock;
  /** Time that the steady clock did not count, in ms. */
  #stoodMs = 0;
  #suspendedAtMs: number | null = null;
  #resumed = Deferred.makeUnsafe<void>();
  /** How far the time of day is ahead, in ms; tests set it. */
  wallAheadMs = 0;

  constructor(inner: Ports.Clock) {
    super();
    this.#inner = inner;
  }

  /** The time of day counts a suspension. */
  override wallMs(): number {
    return this.#inner.wallMs() + this.wallAheadMs;
  }

  override monotonicMs(): number {
    return (this.#suspendedAtMs ?? this.#inner.monotonicMs()) - this.#stoodMs;
  }

  /** Timers follow the steady clock. */
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

  /** Whether the box stands still. */
  get isSuspended(): boolean {
    return this.#suspendedAtMs !== null;
  }

  /** Waits while the box is suspended: what arrives then is read later. */
  awaitRunning(): Effect.Effect<void> {
    return Effect.suspend(() =>
      this.isSuspended ? Deferred.await(this.#resumed) : Effect.void
    );
  }

  /** The box stands still from now on. */
  suspend(): void {
    if (this.isSuspended) return;
    this.#resumed = Deferred.makeUnsafe<void>();
    this.#suspendedAtMs = this.#inner.monotonicMs();
  }

  /** The box goes on; it has not noticed the time between. */
  resume(): void {
    if (this.#suspendedAtMs === null) return;
    this.#stoodMs += this.#inner.monotonicMs() - this.#suspendedAtMs;
    this.#suspendedAtMs = null;
    Deferred.doneUnsafe(this.#resumed, Effect.void);
  }
}
