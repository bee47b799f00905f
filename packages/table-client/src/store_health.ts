/**
 * How the store fares: which partitions are not tried now, since when none of the
 * calls was answered, and how slow its answers are.
 */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as breakers from "./circuit_breaker.ts";

/** A call without an answer counts as lost after this time, in ms. */
export const CALL_MS = 1000;
/**
 * The same for a write while the store is slow, in ms: a second in its queue, and
 * the answer of a store 90 times slower twice.
 */
const LONGEST_WRITE_MS = 2000;
/** Writes that take this many times the usual time are late. */
const HEDGE_FACTOR = 4;
/** Shortest and longest time before a second try, in ms. */
const LEAST_HEDGE_MS = 40;
const LONGEST_HEDGE_MS = 1000;
/**
 * After a silence of this length an answer means that the service is back. A
 * service of which some partitions answer is never silent for so long.
 */
const OUTAGE_MS = 300;
/**
 * A slow answer is remembered for this long, in ms: every box looks for a new
 * configuration a few times in it.
 */
const SLOW_MEMORY_MS = 3000;
/** Weight of the newest write in the usual time. */
const NEWEST_WEIGHT = 0.3;

/** Health of one store, as this box sees it. */
export class StoreHealth {
  readonly #clock: Ports.Clock;
  /** One for each partition: some may fail while others answer. */
  readonly #breakers = new Map<string, breakers.CircuitBreaker>();
  #failingSinceMs: number | null = null;
  #usualWriteMs = 0;
  /** The slowest answer of late. */
  #slowest = { atMs: Number.NEGATIVE_INFINITY, tookMs: 0 };
  /** Done when the service answers again after an outage. */
  #back = Deferred.makeUnsafe<void>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Whether all partitions that are used answered lately. */
  isReachable(): boolean {
    return [...this.#breakers.values()].every((one) => !one.isOpen());
  }

  /** What a write usually takes, in ms; 0 before the first. */
  get usualWriteMs(): number {
    return this.#usualWriteMs;
  }

  /**
   * Time after which a second try beside a call is worth its price. Refusals of a
   * store that is slow count as well: where all is slow, more tries only make it
   * slower. A call without an answer does not: its partition may be away while
   * others answer.
   */
  get hedgeMs(): number {
    const longestMs = Math.max(this.#usualWriteMs, this.#slowMs);
    const hedgeMs = longestMs * HEDGE_FACTOR;
    return Math.min(LONGEST_HEDGE_MS, Math.max(LEAST_HEDGE_MS, hedgeMs));
  }

  /**
   * Time after which a write counts as lost. A slow store lets writes wait for up
   * to a second before it carries them out; to give one up that is on its way and
   * to send it again would only lengthen the queue.
   */
  get writeLimitMs(): number {
    const slowMs = this.#slowMs * HEDGE_FACTOR;
    return Math.min(LONGEST_WRITE_MS, Math.max(CALL_MS, slowMs));
  }

  /** The slowest answer of late, whatever it was; 0 where there was none. */
  get #slowMs(): number {
    const { atMs, tookMs } = this.#slowest;
    const isRecent = this.#clock.monotonicMs() - atMs < SLOW_MEMORY_MS;
    return isRecent ? tookMs : 0;
  }

  /** Watches the calls to a partition. */
  breaker(partition: string): breakers.CircuitBreaker {
    const known = this.#breakers.get(partition);
    if (known !== undefined) return known;
    const made = new breakers.CircuitBreaker(this.#clock);
    this.#breakers.set(partition, made);
    return made;
  }

  /** The service answered a call. */
  noteAnswered(): void {
    const wasOut = this.silentForMs() >= OUTAGE_MS;
    this.#failingSinceMs = null;
    if (wasOut) this.#endOutage();
  }

  /** A call failed. */
  noteFailed(): void {
    this.#failingSinceMs ??= this.#clock.monotonicMs();
  }

  /** Time for which calls have failed; 0 while the last one was answered. */
  silentForMs(): number {
    const sinceMs = this.#failingSinceMs;
    return sinceMs === null ? 0 : this.#clock.monotonicMs() - sinceMs;
  }

  /** An answer took this long, in ms. */
  noteDelay(tookMs: number): void {
    if (tookMs < this.#slowMs) return;
    this.#slowest = { atMs: this.#clock.monotonicMs(), tookMs };
  }

  /** A write took this long, in ms. */
  noteWrite(tookMs: number): void {
    const before = this.#usualWriteMs;
    this.#usualWriteMs = before + (tookMs - before) * NEWEST_WEIGHT;
  }

  /** Ends when the service answers again after an outage. */
  awaitBack(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#back));
  }

  /** Whoever waits for the next try need not wait any longer. */
  #endOutage(): void {
    for (const breaker of this.#breakers.values()) breaker.allowTrial();
    Deferred.doneUnsafe(this.#back, Effect.void);
    this.#back = Deferred.makeUnsafe<void>();
  }
}
