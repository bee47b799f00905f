/**
 * Starts without an answer. Endpoints may execute such orders seconds later. One that
 * was sent to a previous incarnation may be executed by the current one and start
 * work that is already done or runs elsewhere. So each new incarnation is first
 * ordered to stop these runs: an endpoint never starts a run that it was told to stop
 * before.
 */
import type * as Ports from "@cairngate/ports";
import * as unexpectedRuns from "./unexpected_runs.ts";

/**
 * Time in ms after which an unanswered order is not executed any more: operators
 * report delays of seconds, up to 12 s.
 */
export const LONGEST_ORDER_DELAY_MS = 15_000;

/** A start without an answer. */
export interface UnansweredStart extends Ports.RunRef {
  readonly sentAtMs: number;
}

/** Unanswered starts of one endpoint. */
export class UnansweredStarts {
  readonly #clock: Ports.Clock;
  readonly #starts = new Map<string, UnansweredStart>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a start without an answer, which may be delivered later.
   * @param sentAtMs latest time at which it was sent, by this box's clock
   */
  add(
    { task, run }: Ports.RunRef,
    sentAtMs = this.#clock.monotonicMs(),
  ): void {
    this.#starts.set(unexpectedRuns.runName({ task, run }), {
      task,
      run,
      sentAtMs,
    });
  }

  /** Whether there is none, not even one that is not delivered any more. */
  get isEmpty(): boolean {
    return this.#starts.size === 0;
  }

  /** Starts that may still be delivered. */
  get all(): readonly UnansweredStart[] {
    const nowMs = this.#clock.monotonicMs();
    for (const [name, { sentAtMs }] of this.#starts) {
      if (nowMs - sentAtMs > LONGEST_ORDER_DELAY_MS) this.#starts.delete(name);
    }
    return [...this.#starts.values()];
  }
}
