/** Circuit breaker for a service that fails several times in a row. */
import type * as Ports from "@cairngate/ports";

const FAILURES_TO_OPEN = 5;
const OPEN_MS = 500;

/** Counts failures in a row; while it is open, calls fail without being sent. */
export class CircuitBreaker {
  readonly #clock: Ports.Clock;
  #failures = 0;
  #openUntilMs = 0;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** Whether calls are refused now. */
  isOpen(): boolean {
    return this.#clock.monotonicMs() < this.#openUntilMs;
  }

  /** Resets the count after an answer. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /** Closes the breaker for a trial call, after an answer to another call. */
  allowTrial(): void {
    this.#openUntilMs = 0;
  }

  /** Counts a call without an answer; after each open period a trial is allowed. */
  recordFailure(): void {
    this.#failures++;
    if (this.#failures < FAILURES_TO_OPEN) return;
    this.#openUntilMs = this.#clock.monotonicMs() + OPEN_MS;
  }
}
