/**
 * Which workers are leaving: the platform's list, which lags, joined with
 * what peers tell. Leaving beats live.
 */
import type * as Platform from "@cairngate/platform";
import * as Effect from "effect/Effect";

/** What peers told counts for this long without being told again. */
const TOLD_FOR_MS = 10_000;

/** Keeps the names of leaving workers. */
export class LiveWorkers {
  readonly #list: Platform.LiveList;
  readonly #clock: Platform.Clock;
  #tag: string | null = null;
  #listed: ReadonlySet<string> = new Set();
  readonly #toldAtMs = new Map<string, number>();

  constructor(list: Platform.LiveList, clock: Platform.Clock) {
    this.#list = list;
    this.#clock = clock;
  }

  /** Reads the platform's list for ever. */
  keepReading(intervalMs: number): Effect.Effect<never> {
    const read = Effect.suspend(() => this.#list.workers(this.#tag)).pipe(
      Effect.map((found) => {
        if (found === null) return;
        this.#tag = found.tag;
        const leaving = found.workers.filter((entry) => entry.leaving);
        this.#listed = new Set(leaving.map((entry) => entry.name));
      }),
      // In an outage the last list stays in force.
      Effect.catch(() => Effect.void),
    );
    return this.#clock.every(intervalMs, read);
  }

  /** Notes names that a peer read from the list. */
  noteLeaving(workers: readonly string[]): void {
    const nowMs = this.#clock.monotonicMs();
    for (const worker of workers) this.#toldAtMs.set(worker, nowMs);
  }

  /** Whether a worker is leaving. */
  isLeaving(worker: string): boolean {
    if (this.#listed.has(worker)) return true;
    const toldAtMs = this.#toldAtMs.get(worker);
    if (toldAtMs === undefined) return false;
    return this.#clock.monotonicMs() - toldAtMs < TOLD_FOR_MS;
  }

  /** Names read from the list by this box; only these are told to peers. */
  leavingNames(): string[] {
    return [...this.#listed];
  }
}
