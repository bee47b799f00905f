/** Runs that the records lay to endpoints which are not listed any more. */
import type * as Workflow from "@cairngate/workflow";

/** A run whose endpoint is gone; whoever ended it did not tell. */
export interface MissingRun {
  readonly task: Workflow.Task;
  readonly run: number;
  readonly worker: string;
  /** Birth of that endpoint's life; null: not told, or not known. */
  readonly bornMs: number | null;
  readonly address?: string | null;
  readonly presence: Workflow.Presence;
}

interface Waiting extends MissingRun {
  /** Our time by which its lease has run out. */
  untilMs: number;
}

/** Missing runs, until their leases have run out. */
export class MissingRuns {
  readonly #waiting = new Set<Waiting>();

  /** The endpoint of this run is not listed. */
  add(run: Waiting): void {
    this.#waiting.add(run);
  }

  /** The former coordinator may have renewed the leases of all until now. */
  coverLeases(untilMs: number): void {
    for (const run of this.#waiting) {
      run.untilMs = Math.max(run.untilMs, untilMs);
    }
  }

  /** Runs whose endpoints are listed after all; they are not missing any more. */
  takeListed(isListed: (worker: string) => boolean): readonly Waiting[] {
    return this.#take(({ worker }) => isListed(worker));
  }

  /** Runs whose leases have run out. */
  takeLapsed(nowMs: number): readonly MissingRun[] {
    return this.#take(({ untilMs }) => nowMs >= untilMs);
  }

  #take(isTaken: (run: Waiting) => boolean): readonly Waiting[] {
    const taken = [...this.#waiting].filter(isTaken);
    for (const run of taken) this.#waiting.delete(run);
    return taken;
  }
}
