/**
 * Runs of one endpoint that are over for the coordinator although the endpoint has
 * not reported their ends. It may report them later, or turn out to have crashed.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as unexpectedRuns from "./unexpected_runs.ts";

/** A run whose end is not known. */
export interface UnreportedRun {
  readonly task: Workflow.Task;
  readonly run: number;
  /** How certain it is that its endpoint had it. */
  readonly presence: Workflow.Presence;
  /** Birth time of the incarnation that it was sent to; null if unknown. */
  readonly bornMs: number | null;
}

/** Unreported runs of one session. */
export class UnreportedRuns {
  readonly #runs = new Map<string, UnreportedRun>();

  /** All unreported runs. */
  get all(): readonly UnreportedRun[] {
    return [...this.#runs.values()];
  }

  /** Adds a run that is over and whose end is not known. */
  add(run: UnreportedRun): void {
    this.#runs.set(taskRunName(run), run);
  }

  /** Removes and returns a run that is reported; null if there is none. */
  take(reported: Ports.RunRef): UnreportedRun | null {
    const name = unexpectedRuns.runName(reported);
    const found = this.#runs.get(name) ?? null;
    this.#runs.delete(name);
    return found;
  }

  /**
   * Removes and returns the runs that an answering endpoint neither holds nor reports
   * as ended: it knows nothing more of them.
   */
  takeAbsent(held: readonly Ports.RunRef[]): readonly UnreportedRun[] {
    if (this.#runs.size === 0) return [];
    const names = new Set(held.map(unexpectedRuns.runName));
    const unknown = this.all.filter((run) => !names.has(taskRunName(run)));
    for (const run of unknown) this.#runs.delete(taskRunName(run));
    return unknown;
  }

  /** Removes and returns all runs. */
  takeAll(): readonly UnreportedRun[] {
    const all = this.all;
    this.#runs.clear();
    return all;
  }
}

function taskRunName({ task, run }: UnreportedRun): string {
  return unexpectedRuns.runName({ task: task.name, run });
}
