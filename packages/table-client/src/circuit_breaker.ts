/** Stops asking a service that has failed several times in a row. */
import type * as Ports from "@cairngate/ports";

const FAILURES_TO_OPEN = 5;
const OPEN_MS = 500;

/** Counts failures; open means: fail at once, do not ask. */
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

  /** The service has answered. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /** Another call was answered: the next call here is a trial. */
  allowTrial(): void {
    this.#openUntilMs = 0;
  }

  /** The service has not answered; one trial follows each open time. */
  recordFailure(): void {
    this.#failures++;
    if (this.#failures < FAILURES_TO_OPEN) return;
    this.#openUntilMs = this.#clock.monotonicMs() + OPEN_MS;
  }
}
