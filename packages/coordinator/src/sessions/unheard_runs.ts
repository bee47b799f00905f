/**
 * Runs of one endpoint that are over for the coordinator although the endpoint
 * has not told how they ended. It may tell later, or turn out to have crashed.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as unexpectedRuns from "./stray_runs.ts";

/** A run whose end is not known. */
export interface UnheardRun {
  readonly task: Workflow.Task;
  readonly run: number;
  /** How sure it is that its endpoint had it. */
  readonly presence: Workflow.Presence;
  /** Birth of the life that it was sent to; null: not told, or not known. */
  readonly bornMs: number | null;
}

/** Those of one session. */
export class UnreportedRuns {
  readonly #runs = new Map<string, UnheardRun>();

  /** All of them. */
  get all(): readonly UnheardRun[] {
    return [...this.#runs.values()];
  }

  /** A run is over, and how it ended is not known. */
  add(run: UnheardRun): void {
    this.#runs.set(taskRunName(run), run);
  }

  /** Forgets a run that is told of; null where it is none of these. */
  take(reported: Ports.RunRef): UnheardRun | null {
    const name = unexpectedRuns.runName(reported);
    const found = this.#runs.get(name) ?? null;
    this.#runs.delete(name);
    return found;
  }

  /**
   * Forgets the runs that an answering endpoint neither holds nor lists as ended:
   * it has told all that it knows of them.
   */
  takeAbsent(held: readonly Ports.RunRef[]): readonly UnheardRun[] {
    if (this.#runs.size === 0) return [];
    const names = new Set(held.map(unexpectedRuns.runName));
    const unknown = this.all.filter((run) => !names.has(taskRunName(run)));
    for (const run of unknown) this.#runs.delete(taskRunName(run));
    return unknown;
  }

  /** Forgets all. */
  takeAll(): readonly UnheardRun[] {
    const all = this.all;
    this.#runs.clear();
    return all;
  }
}

function taskRunName({ task, run }: UnheardRun): string {
  return unexpectedRuns.runName({ task: task.name, run });
}
