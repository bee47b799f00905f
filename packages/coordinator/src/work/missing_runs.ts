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

interface TrackedRun extends MissingRun {
  /** Our time by which its lease has run out. */
  leaseExpiresAtMs: number;
}

/** Missing runs, until their leases have run out. */
export class MissingRuns {
  readonly #runs = new Set<TrackedRun>();

  /** The endpoint of this run is not listed. */
  add(run: TrackedRun): void {
    this.#runs.add(run);
  }

  /** The former coordinator may have renewed the leases of all until now. */
  extendLeases(leaseExpiresAtMs: number): void {
    for (const run of this.#runs) {
      run.leaseExpiresAtMs = Math.max(run.leaseExpiresAtMs, leaseExpiresAtMs);
    }
  }

  /** Runs whose endpoints are listed after all; they are not missing any more. */
  removeListed(isListed: (endpoint: string) => boolean): readonly TrackedRun[] {
    return this.#removeWhere(({ worker }) => isListed(worker));
  }

  /** Runs whose leases have run out. */
  removeExpired(nowMs: number): readonly MissingRun[] {
    return this.#removeWhere(({ leaseExpiresAtMs: untilMs }) =>
      nowMs >= untilMs
    );
  }

  #removeWhere(
    shouldRemove: (run: TrackedRun) => boolean,
  ): readonly TrackedRun[] {
    const removed = [...this.#runs].filter(shouldRemove);
    for (const run of removed) this.#runs.delete(run);
    return removed;
  }
}
