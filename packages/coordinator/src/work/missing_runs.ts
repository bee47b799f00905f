/** Runs that the records lay to endpoints which are not listed any more. */
import * as Workflow from "@cairngate/workflow";

/** A run whose endpoint is gone; whoever ended it did not tell. */
export interface MissingRun {
  readonly task: Workflow.Task;
  readonly run: number;
  readonly worker: string;
  readonly evidence: Workflow.CrashEvidence;
}

interface Waiting extends Omit<MissingRun, "evidence"> {
  /** Our time by which its lease has run out. */
  readonly untilMs: number;
}

/** Missing runs, until their leases have run out. */
export class MissingRuns {
  readonly #waiting = new Set<Waiting>();

  /** The endpoint of this run is not listed. */
  add(run: Waiting): void {
    this.#waiting.add(run);
  }

  /** Runs whose endpoints are listed after all; they are not missing any more. */
  takeListed(isListed: (worker: string) => boolean): readonly Waiting[] {
    return this.#take(({ worker }) => isListed(worker));
  }

  /**
   * Runs whose leases have run out.
   * @param noteCrash tells whether so many endpoints are gone that no task did it
   */
  takeLapsed(
    nowMs: number,
    noteCrash: (worker: string, tasks: readonly Workflow.Task[]) => boolean,
  ): readonly MissingRun[] {
    const lapsed = this.#take(({ untilMs }) => nowMs >= untilMs);
    const workers = new Set(lapsed.map(({ worker }) => worker));
    return [...workers].flatMap((worker) => {
      const runs = lapsed.filter((one) => one.worker === worker);
      const tasks = runs.map(({ task }) => task);
      const isExcused = noteCrash(worker, tasks);
      const wasAlone = runs.length === 1;
      return runs.map((one) => {
        const presence = one.task.confirmedRun === one.run
          ? Workflow.Presence.Certain
          : Workflow.Presence.Likely;
        return { ...one, evidence: { wasAlone, isExcused, presence } };
      });
    });
  }

  #take(isTaken: (run: Waiting) => boolean): readonly Waiting[] {
    const taken = [...this.#waiting].filter(isTaken);
    for (const run of taken) this.#waiting.delete(run);
    return taken;
  }
}
