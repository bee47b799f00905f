/**
 * Which workers are leaving: the platform's list, which lags, joined with
 * what peers tell. Leaving beats live.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** What peers told counts at least this long, and until the next reading. */
const RETENTION_MS = 10_000;
/** Names are told to peers for this long after they were first read. */
const RELAY_MS = 5000;

/** Keeps the names of leaving workers. */
export class LiveWorkers {
  readonly #list: Ports.LiveList;
  readonly #clock: Ports.Clock;
  #tag: string | null = null;
  /** Leaving workers of the list, and since when this box knows. */
  #listed: ReadonlyMap<string, number> = new Map();
  readonly #notedAtMs = new Map<string, number>();

  constructor(list: Ports.LiveList, clock: Ports.Clock) {
    this.#list = list;
    this.#clock = clock;
  }

  /** Reads the platform's list for ever. */
  keepReading(intervalMs: number): Effect.Effect<never> {
    const read = Effect.suspend(() => this.#list.workers(this.#tag)).pipe(
      Effect.map((found) => {
        this.#dropStale();
        if (found === null) return;
        this.#tag = found.tag;
        const leaving = found.workers.filter((entry) => entry.leaving);
        this.#update(leaving.map((entry) => entry.name));
      }),
      // In an outage the last list stays in force.
      Effect.catch(() => Effect.void),
    );
    return this.#clock.every(intervalMs, read);
  }

  /** Notes names that a peer read from the list. */
  noteLeaving(workers: readonly string[]): void {
    const nowMs = this.#clock.monotonicMs();
    for (const worker of workers) this.#notedAtMs.set(worker, nowMs);
  }

  /** Whether a worker is leaving. */
  isLeaving(worker: string): boolean {
    if (this.#listed.has(worker)) return true;
    return this.#notedAtMs.has(worker);
  }

  /** Names that this box has read from the list a moment ago. */
  namesToRelay(): string[] {
    const nowMs = this.#clock.monotonicMs();
    return [...this.#listed]
      .filter(([, sinceMs]) => nowMs - sinceMs < RELAY_MS)
      .map(([name]) => name);
  }

  #update(names: readonly string[]): void {
    const nowMs = this.#clock.monotonicMs();
    const previous = this.#listed;
    this.#listed = new Map(
      names.map((name) => [name, previous.get(name) ?? nowMs]),
    );
  }

  /** The list was read, so what peers told earlier is no longer needed. */
  #dropStale(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [name, notedAtMs] of this.#notedAtMs) {
      if (nowMs - notedAtMs >= RETENTION_MS) this.#notedAtMs.delete(name);
    }
  }
}
