/**
 * Leaving workers: the union of the platform's list, which lags behind, and
 * the names reported by peers. A worker that either reports counts as leaving.
 */
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** Names reported by peers are kept for at least this long, until the next read. */
const RETENTION_MS = 10_000;
/** Names are relayed to peers for this long after they were first read. */
const RELAY_MS = 5000;

/** Tracks the names of leaving workers. */
export class LeavingWorkers {
  readonly #list: Ports.LiveList;
  readonly #clock: Ports.Clock;
  #tag: string | null = null;
  /** Leaving workers of the list, with the time of the first read, in ms. */
  #listed: ReadonlyMap<string, number> = new Map();
  readonly #notedAtMs = new Map<string, number>();

  constructor(list: Ports.LiveList, clock: Ports.Clock) {
    this.#list = list;
    this.#clock = clock;
  }

  /** Polls the platform's list until interrupted. */
  keepReading(intervalMs: number): Effect.Effect<never> {
    const read = Effect.suspend(() => this.#list.workers(this.#tag)).pipe(
      Effect.map((found) => {
        this.#dropStale();
        if (found === null) return;
        this.#tag = found.tag;
        const leaving = found.workers.filter((entry) => entry.leaving);
        this.#update(leaving.map((entry) => entry.name));
      }),
      // During an outage the last list remains valid.
      Effect.catch(() => Effect.void),
    );
    return this.#clock.every(intervalMs, read);
  }

  /** Records names that a peer read from the list. */
  noteLeaving(workers: readonly string[]): void {
    const nowMs = this.#clock.monotonicMs();
    for (const worker of workers) this.#notedAtMs.set(worker, nowMs);
  }

  /** Whether a worker is leaving. */
  isLeaving(worker: string): boolean {
    if (this.#listed.has(worker)) return true;
    return this.#notedAtMs.has(worker);
  }

  /** Names that this box has recently read for the first time. */
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

  /** Drops old names from peers: this box has now read the list itself. */
  #dropStale(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [name, notedAtMs] of this.#notedAtMs) {
      if (nowMs - notedAtMs >= RETENTION_MS) this.#notedAtMs.delete(name);
    }
  }
}
