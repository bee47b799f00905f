/** Runs that one endpoint holds although they are not expected there. */
import type * as Ports from "@cairngate/ports";

/** Unexpected runs of the latest poll. */
export class UnexpectedRuns {
  readonly #runs = new Map<string, Ports.RunRef>();

  /** Number of unexpected runs. */
  get count(): number {
    return this.#runs.size;
  }

  /** Replaces the runs by those of a new poll; returns whether the last has gone. */
  replace(runs: readonly Ports.RunRef[]): boolean {
    const hadAny = this.#runs.size > 0;
    this.#runs.clear();
    for (const run of runs) this.#runs.set(runName(run), run);
    return hadAny && runs.length === 0;
  }

  /** Notes the end of a run, which may have been unexpected. */
  noteEnded(run: Ports.RunRef): void {
    this.#runs.delete(runName(run));
  }
}

/** Name of a run for logs and as a key. */
export function runName({ task, run }: Ports.RunRef): string {
  return `${task}@${run}`;
}
