/**
 * How the store fares: which partitions are not tried now, since when none of the
 * calls was answered, and how slow its answers are.
 */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as breakers from "./circuit_breaker.ts";

/** A call without an answer counts as lost after this time, in ms. */
export const CALL_TIMEOUT_MS = 1000;
/**
 * The same for a write while the store is slow, in ms: a second in its queue, and
 * the answer of a store 90 times slower twice.
 */
const MAX_WRITE_TIMEOUT_MS = 2000;
/** Writes that take this many times the usual time are late. */
const HEDGE_FACTOR = 4;
/** Shortest and longest time before a second try, in ms. */
const MIN_HEDGE_MS = 40;
const MAX_HEDGE_MS = 1000;
/**
 * After a silence of this length an answer means that the service is back. A
 * service of which some partitions answer is never silent for so long.
 */
const OUTAGE_MS = 300;
/**
 * A slow answer is remembered for this long, in ms: every box looks for a new
 * configuration a few times in it.
 */
const SLOW_ANSWER_WINDOW_MS = 3000;
/** Weight of the newest write in the usual time. */
const LATEST_WRITE_WEIGHT = 0.3;

/** Health of one store, as this box sees it. */
export class StoreHealth {
  readonly #clock: Ports.Clock;
  /** One for each partition: some may fail while others answer. */
  readonly #breakers = new Map<string, breakers.CircuitBreaker>();
  #failingSinceMs: number | null = null;
  #averageWriteMs = 0;
  /** The slowest answer of late. */
  #slowest = { atMs: Number.NEGATIVE_INFINITY, tookMs: 0 };
  /** Done when the service answers again after an outage. */
  #recovered = Deferred.makeUnsafe<void>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Whether all partitions that are used answered lately. */
  isReachable(): boolean {
    return [...this.#breakers.values()].every((breaker) => !breaker.isOpen());
  }

  /** What a write usually takes, in ms; 0 before the first. */
  get averageWriteMs(): number {
    return this.#averageWriteMs;
  }

  /**
   * Time after which a second try beside a call is worth its price. Refusals of a
   * store that is slow count as well: where all is slow, more tries only make it
   * slower. A call without an answer does not: its partition may be away while
   * others answer.
   */
  get hedgeMs(): number {
    const slowestMs = Math.max(this.#averageWriteMs, this.#slowestRecentMs);
    const hedgeMs = slowestMs * HEDGE_FACTOR;
    return Math.min(MAX_HEDGE_MS, Math.max(MIN_HEDGE_MS, hedgeMs));
  }

  /**
   * Time after which a write counts as lost. A slow store lets writes wait for up
   * to a second before it carries them out; to give one up that is on its way and
   * to send it again would only lengthen the queue.
   */
  get writeTimeoutMs(): number {
    const timeoutMs = this.#slowestRecentMs * HEDGE_FACTOR;
    return Math.min(MAX_WRITE_TIMEOUT_MS, Math.max(CALL_TIMEOUT_MS, timeoutMs));
  }

  /** The slowest answer of late, whatever it was; 0 where there was none. */
  get #slowestRecentMs(): number {
    const { atMs, tookMs } = this.#slowest;
    const isRecent = this.#clock.monotonicMs() - atMs < SLOW_ANSWER_WINDOW_MS;
    return isRecent ? tookMs : 0;
  }

  /** Watches the calls to a partition. */
  breaker(partition: string): breakers.CircuitBreaker {
    const existing = this.#breakers.get(partition);
    if (existing !== undefined) return existing;
    const created = new breakers.CircuitBreaker(this.#clock);
    this.#breakers.set(partition, created);
    return created;
  }

  /** The service answered a call. */
  recordAnswer(): void {
    const wasOutage = this.failingForMs() >= OUTAGE_MS;
    this.#failingSinceMs = null;
    if (wasOutage) this.#endOutage();
  }

  /** A call failed. */
  recordFailure(): void {
    this.#failingSinceMs ??= this.#clock.monotonicMs();
  }

  /** Time for which calls have failed; 0 while the last one was answered. */
  failingForMs(): number {
    const sinceMs = this.#failingSinceMs;
    return sinceMs === null ? 0 : this.#clock.monotonicMs() - sinceMs;
  }

  /** An answer took this long, in ms. */
  recordDelay(tookMs: number): void {
    if (tookMs < this.#slowestRecentMs) return;
    this.#slowest = { atMs: this.#clock.monotonicMs(), tookMs };
  }

  /** A write took this long, in ms. */
  recordWrite(tookMs: number): void {
    const previousMs = this.#averageWriteMs;
    this.#averageWriteMs = previousMs +
      (tookMs - previousMs) * LATEST_WRITE_WEIGHT;
  }

  /** Ends when the service answers again after an outage. */
  awaitRecovery(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#recovered));
  }

  /** Whoever waits for the next try need not wait any longer. */
  #endOutage(): void {
    for (const breaker of this.#breakers.values()) breaker.allowTrial();
    Deferred.doneUnsafe(this.#recovered, Effect.void);
    this.#recovered = Deferred.makeUnsafe<void>();
  }
}
