/**
 * Health of the store: open circuit breakers, time without an answer, and the
 * latency of answers.
 */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as breakers from "./circuit_breaker.ts";

/** Timeout of a call, in ms. */
export const CALL_TIMEOUT_MS = 1000;
/**
 * Longest timeout of a write while the store is slow, in ms: a second in the store's
 * queue and twice the answer time of a store that is 90 times slower.
 */
const MAX_WRITE_TIMEOUT_MS = 2000;
/** A write is late after this multiple of the usual or recent slowest time. */
const HEDGE_FACTOR = 4;
/** Bounds of the time before a hedge, in ms. */
const MIN_HEDGE_MS = 40;
const MAX_HEDGE_MS = 1000;
/**
 * Shortest time without any answer that counts as an outage, in ms. While some
 * partitions still answer, the service is never silent for so long.
 */
const OUTAGE_MS = 300;
/**
 * Time for which a slow answer counts, in ms: every box polls for a new
 * configuration a few times within it.
 */
const SLOW_ANSWER_WINDOW_MS = 3000;
/** Weight of the newest write in the moving average. */
const LATEST_WRITE_WEIGHT = 0.3;

/** Tracks the health of one store from the answers that this box gets. */
export class StoreHealth {
  readonly #clock: Ports.Clock;
  /** One breaker per partition: some may fail while others answer. */
  readonly #breakers = new Map<string, breakers.CircuitBreaker>();
  #failingSinceMs: number | null = null;
  #averageWriteMs = 0;
  /** Slowest answer within the window. */
  #slowest = { atMs: Number.NEGATIVE_INFINITY, tookMs: 0 };
  /** Completed when the service answers again after an outage. */
  #recovered = Deferred.makeUnsafe<void>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Whether the circuit breakers of all used partitions are closed. */
  isReachable(): boolean {
    return [...this.#breakers.values()].every((breaker) => !breaker.isOpen());
  }

  /** Moving average of the time of a write, in ms; 0 before the first. */
  get averageWriteMs(): number {
    return this.#averageWriteMs;
  }

  /**
   * Time after which a call is hedged with a second attempt, in ms. Slow refusals
   * count toward it: hedging on a store that is slow throughout makes it slower. A
   * call without an answer does not count, as its partition may be down alone.
   */
  get hedgeDelayMs(): number {
    const slowestMs = Math.max(this.#averageWriteMs, this.#slowestRecentMs);
    const hedgeDelayMs = slowestMs * HEDGE_FACTOR;
    return Math.min(MAX_HEDGE_MS, Math.max(MIN_HEDGE_MS, hedgeDelayMs));
  }

  /**
   * Timeout of a write, in ms. A slow store queues writes for up to a second;
   * abandoning a queued write and sending it again would only lengthen the queue.
   */
  get writeTimeoutMs(): number {
    const timeoutMs = this.#slowestRecentMs * HEDGE_FACTOR;
    return Math.min(MAX_WRITE_TIMEOUT_MS, Math.max(CALL_TIMEOUT_MS, timeoutMs));
  }

  /** Slowest answer within the window, errors included, in ms; 0 for none. */
  get #slowestRecentMs(): number {
    const { atMs, tookMs } = this.#slowest;
    const isRecent = this.#clock.monotonicMs() - atMs < SLOW_ANSWER_WINDOW_MS;
    return isRecent ? tookMs : 0;
  }

  /** The circuit breaker of a partition. */
  breaker(partition: string): breakers.CircuitBreaker {
    const existing = this.#breakers.get(partition);
    if (existing !== undefined) return existing;
    const created = new breakers.CircuitBreaker(this.#clock);
    this.#breakers.set(partition, created);
    return created;
  }

  /** Records an answer, which may end an outage. */
  recordAnswer(): void {
    const wasOutage = this.failingForMs() >= OUTAGE_MS;
    this.#failingSinceMs = null;
    if (wasOutage) this.#endOutage();
  }

  /** Records a call that got no answer. */
  recordFailure(): void {
    this.#failingSinceMs ??= this.#clock.monotonicMs();
  }

  /** Time for which all calls have failed, in ms; 0 if the last one was answered. */
  failingForMs(): number {
    const sinceMs = this.#failingSinceMs;
    return sinceMs === null ? 0 : this.#clock.monotonicMs() - sinceMs;
  }

  /** Records the time of an answer, in ms. */
  recordDelay(tookMs: number): void {
    if (tookMs < this.#slowestRecentMs) return;
    this.#slowest = { atMs: this.#clock.monotonicMs(), tookMs };
  }

  /** Records the time of a successful write, in ms. */
  recordWrite(tookMs: number): void {
    const previousMs = this.#averageWriteMs;
    this.#averageWriteMs = previousMs +
      (tookMs - previousMs) * LATEST_WRITE_WEIGHT;
  }

  /** Completes when the service answers again after an outage. */
  awaitRecovery(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#recovered));
  }

  /** Allows a trial call in every partition and wakes the calls in backoff. */
  #endOutage(): void {
    for (const breaker of this.#breakers.values()) breaker.allowTrial();
    const recovered = this.#recovered;
    // Waiters resume synchronously and may await the next recovery at once.
    this.#recovered = Deferred.makeUnsafe<void>();
    Deferred.doneUnsafe(recovered, Effect.void);
  }
}
