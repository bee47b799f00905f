/** Single calls to the store with a timeout, and the backoff between attempts. */
import * as Errors from "@cairngate/errors";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import type * as breakers from "./circuit_breaker.ts";
import * as storeErrors from "./store_errors.ts";
import * as healths from "./store_health.ts";

/** Dependencies of `TimedCalls`. */
export interface TimedCallsOptions {
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly metrics: Metrics.Metrics;
  readonly health: healths.StoreHealth;
}

/** Operation of a call and the partition that it goes to. */
export interface Target {
  readonly operation: string;
  readonly partition: string;
}

/** First and longest pause between two attempts, in ms. */
const INITIAL_BACKOFF_MS = 40;
const MAX_BACKOFF_MS = 1000;

/** Makes the calls of one client. */
export class TimedCalls {
  readonly #options: TimedCallsOptions;

  constructor(options: TimedCallsOptions) {
    this.#options = options;
  }

  /** Makes one call with a timeout; feeds the circuit breaker and the metrics. */
  call<A, E extends { readonly _tag: string }>(
    { operation, partition }: Target,
    call: Effect.Effect<A, E>,
    timeoutMs = healths.CALL_TIMEOUT_MS,
  ): Effect.Effect<A, E | Errors.AnswerLostError | storeErrors.StoreFailure> {
    const { clock, metrics, health } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const breaker = health.breaker(partition);
      if (breaker.isOpen()) {
        const cause = "the circuit breaker is open after repeated failures";
        return yield* storeErrors.unavailable(operation, cause);
      }
      const startMs = clock.monotonicMs();
      const recordDelay = () => {
        const isWrite = operation === "write";
        if (isWrite) health.recordDelay(clock.monotonicMs() - startMs);
      };
      const timed = yield* clock.within(timeoutMs, call).pipe(
        Effect.tapError((err) =>
          Effect.sync(() => {
            recordDelay();
            if (!isAnswer(err._tag)) this.#recordFailure(breaker);
          })
        ),
      );
      if (timed === null) {
        this.#recordFailure(breaker);
        return yield* new Errors.AnswerLostError({ operation });
      }
      recordDelay();
      breaker.recordSuccess();
      health.recordAnswer();
      const tookMs = clock.monotonicMs() - startMs;
      if (operation === "write") health.recordWrite(tookMs);
      metrics.observeMs(`cairngate_store_${operation}_seconds`, tookMs);
      return timed.value;
    });
  }

  /** Backoff for a call that fails at `endMs` of the monotonic clock. */
  backoffUntil(endMs: number): Backoff {
    return new Backoff(this.#options, endMs);
  }

  #recordFailure(breaker: breakers.CircuitBreaker): void {
    breaker.recordFailure();
    this.#options.health.recordFailure();
  }
}

/** Exponential backoff between the attempts of one call. */
export class Backoff {
  readonly #options: TimedCallsOptions;
  readonly #endMs: number;
  #backoffMs = INITIAL_BACKOFF_MS;

  constructor(options: TimedCallsOptions, endMs: number) {
    this.#options = options;
    this.#endMs = endMs;
  }

  /** Whether the next attempt would start after the deadline. */
  get isExhausted(): boolean {
    const { clock } = this.#options;
    return clock.monotonicMs() + this.#backoffMs > this.#endMs;
  }

  /** Waits before the next attempt; the end of an outage ends the wait early. */
  pause(): Effect.Effect<void> {
    const { clock, random, health } = this.#options;
    const sleep = clock.sleep(random.jitter(this.#backoffMs));
    this.#backoffMs = Math.min(this.#backoffMs * 2, MAX_BACKOFF_MS);
    return Effect.raceFirst(sleep, health.awaitRecovery());
  }
}

/** Whether an error is an answer of the service rather than a missing answer. */
function isAnswer(tag: string): boolean {
  return tag === "ConditionFailedError" || tag === "WriteRefusedError";
}
