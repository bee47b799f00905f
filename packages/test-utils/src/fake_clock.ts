/** A clock that advances only when a test advances it. */
import * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as timers from "node:timers";

interface Sleeper {
  readonly atMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Rounds of the event loop after which woken fibers are idle again. */
const SETTLE_ROUNDS = 4;

/** Clock under the control of a test. */
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

  /** Advances the time and wakes each sleeper at its due time. */
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

  /** Advances in steps until a condition holds; returns false on timeout. */
  async advanceUntil(
    holds: () => boolean,
    timeoutMs: number,
  ): Promise<boolean> {
    const stepMs = 50;
    for (let elapsedMs = 0; elapsedMs < timeoutMs; elapsedMs += stepMs) {
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
