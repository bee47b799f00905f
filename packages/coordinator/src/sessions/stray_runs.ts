/** Runs that one worker holds and nobody expects. */
import type * as Ports from "@cairngate/ports";

/** The strays of the last look. */
export class UnexpectedRuns {
  readonly #runs = new Map<string, Ports.RunRef>();

  /** How many there are. */
  get count(): number {
    return this.#runs.size;
  }

  /** The strays of a new look; tells whether the last of them has gone. */
  replace(runs: readonly Ports.RunRef[]): boolean {
    const hadAny = this.#runs.size > 0;
    this.#runs.clear();
    for (const run of runs) this.#runs.set(runName(run), run);
    return hadAny && runs.length === 0;
  }

  /** A run has ended; it may have been a stray. */
  noteEnded(run: Ports.RunRef): void {
    this.#runs.delete(runName(run));
  }
}

/** Name of a run for logs. */
export function runName({ task, run }: Ports.RunRef): string {
  return `${task}@${run}`;
}
