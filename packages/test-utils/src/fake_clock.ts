/** A clock that moves only when a test says so. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as timers from "node:timers";

interface Sleeper {
  readonly atMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Rounds of the event loop in which woken fibers come to rest. */
const SETTLE_ROUNDS = 4;

/** Time that a test moves. */
export class FakeClock extends Ports.Clock {
  #nowMs = 1_000_000;
  #order = 0;
  #sleepers: Sleeper[] = [];

  override wallMs(): number {
    return this.#nowMs;
  }

  override monotonicMs(): number {
    return this.#nowMs;
  }

  override sleep(ms: number): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      const sleeper: Sleeper = {
        atMs: this.#nowMs + Math.max(0, ms),
        order: this.#order++,
        wake: () => resume(Effect.void),
      };
      this.#sleepers.push(sleeper);
      return Effect.sync(() => {
        this.#sleepers = this.#sleepers.filter((s) => s !== sleeper);
      });
    });
  }

  /** Moves time on, waking each sleeper at its own moment. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    await settle();
    for (;;) {
      const next = this.#takeNext(endMs);
      if (next === undefined) break;
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.wake();
      await settle();
    }
    this.#nowMs = endMs;
  }

  /** Moves time on in steps until something holds; false if it never does. */
  async advanceUntil(
    holds: () => boolean,
    limitMs: number,
  ): Promise<boolean> {
    const stepMs = 50;
    for (let passed = 0; passed < limitMs; passed += stepMs) {
      if (holds()) return true;
      await this.advance(stepMs);
    }
    return holds();
  }

  #takeNext(endMs: number): Sleeper | undefined {
    let first: Sleeper | undefined;
    for (const sleeper of this.#sleepers) {
      if (sleeper.atMs > endMs) continue;
      const isEarlier = first === undefined || sleeper.atMs < first.atMs ||
        (sleeper.atMs === first.atMs && sleeper.order < first.order);
      if (isEarlier) first = sleeper;
    }
    this.#sleepers = this.#sleepers.filter((s) => s !== first);
    return first;
  }
}

async function settle(): Promise<void> {
  for (let i = 0; i < SETTLE_ROUNDS; i++) {
    await new Promise<void>((resolve) => timers.setImmediate(resolve));
  }
}
