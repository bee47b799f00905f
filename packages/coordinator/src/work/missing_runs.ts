/** Recorded runs whose endpoints are not listed any more. */
import type * as Workflow from "@cairngate/workflow";

/** A run whose endpoint is not listed and whose end is not recorded. */
export interface MissingRun {
  readonly task: Workflow.Task;
  readonly run: number;
  readonly endpoint: string;
  /** Start time of the endpoint's instance; null where it is not known. */
  readonly bornMs: number | null;
  readonly address?: string | null;
  readonly presence: Workflow.Presence;
}

interface TrackedRun extends MissingRun {
  /** Local monotonic time by which its lease has expired at the latest. */
  leaseExpiresAtMs: number;
}

/** Holds missing runs until their leases have expired or they are listed again. */
export class MissingRuns {
  readonly #runs = new Set<TrackedRun>();

  /** Adds a run whose endpoint is not listed. */
  add(run: TrackedRun): void {
    this.#runs.add(run);
  }

  /** Extends all leases: the former coordinator may have renewed them until now. */
  extendLeases(leaseEndMs: (endpoint: string) => number): void {
    for (const run of this.#runs) {
      const endMs = leaseEndMs(run.endpoint);
      run.leaseExpiresAtMs = Math.max(run.leaseExpiresAtMs, endMs);
    }
  }

  /** Ends of the leases by endpoint. */
  *leaseEnds(): Iterable<readonly [endpoint: string, endMs: number]> {
    for (const run of this.#runs) yield [run.endpoint, run.leaseExpiresAtMs];
  }

  /** Removes and returns the runs whose endpoints are listed again. */
  removeListed(isListed: (endpoint: string) => boolean): readonly TrackedRun[] {
    return this.#removeWhere(({ endpoint }) => isListed(endpoint));
  }

  /** Removes and returns the runs at whose addresses other endpoints answer. */
  removeReplaced(
    isReplaced: (run: MissingRun) => boolean,
  ): readonly MissingRun[] {
    return this.#removeWhere(isReplaced);
  }

  /** Removes and returns the runs whose leases have expired. */
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
