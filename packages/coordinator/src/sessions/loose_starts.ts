/**
 * Starts that had no answer. Endpoints carry such orders out seconds later, and one
 * for a former life may be carried out in the present one, where it would begin work
 * that was done since, or that runs elsewhere. So each new life is told first to stop
 * these runs: a stop makes a run that has not arrived impossible.
 */
import type * as Ports from "@cairngate/ports";
import * as unexpectedRuns from "./stray_runs.ts";

/**
 * Time after which an order without an answer is not carried out any more, in ms. The
 * operators' page says "seconds"; 12 s is the longest that has been told of.
 */
export const LONGEST_ORDER_DELAY_MS = 15_000;

interface UnansweredStart extends Ports.RunRef {
  readonly sentAtMs: number;
}

/** Those of one endpoint. */
export class LooseStarts {
  readonly #clock: Ports.Clock;
  readonly #starts = new Map<string, UnansweredStart>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** A start had no answer: it may arrive later. */
  add({ task, run }: Ports.RunRef): void {
    const sentAtMs = this.#clock.monotonicMs();
    this.#starts.set(unexpectedRuns.runName({ task, run }), {
      task,
      run,
      sentAtMs,
    });
  }

  /** Those that may still arrive. */
  get all(): readonly Ports.RunRef[] {
    const nowMs = this.#clock.monotonicMs();
    for (const [name, { sentAtMs }] of this.#starts) {
      if (nowMs - sentAtMs > LONGEST_ORDER_DELAY_MS) this.#starts.delete(name);
    }
    return [...this.#starts.values()];
  }
}
