/** Runs that one worker holds and nobody expects. */
import type * as Ports from "@cairngate/ports";

/** The strays of the last look. */
export class StrayRuns {
  readonly #strays = new Map<string, Ports.RunRef>();

  /** How many there are. */
  get count(): number {
    return this.#strays.size;
  }

  /** The strays of a new look; tells whether the last of them has gone. */
  replace(found: readonly Ports.RunRef[]): boolean {
    const had = this.#strays.size > 0;
    this.#strays.clear();
    for (const stray of found) this.#strays.set(nameOf(stray), stray);
    return had && found.length === 0;
  }

  /** A run has ended; it may have been a stray. */
  ended(run: Ports.RunRef): void {
    this.#strays.delete(nameOf(run));
  }
}

/** Name of a run for logs. */
export function nameOf({ task, run }: Ports.RunRef): string {
  return `${task}@${run}`;
}
