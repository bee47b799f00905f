/**
 * Runs that former lives of one endpoint had, as far as it is known: how each of them
 * ends unless the present life shows it. An order for a former life may be carried
 * out late, in the present one; so a run is over only where an answer of the present
 * life, asked for after it was told to stop that run, does not show it.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as trackedRuns from "./held_runs.ts";
import * as evidences from "./life_end.ts";
import type * as unansweredStarts from "./loose_starts.ts";
import * as assignments from "./occupant.ts";
import type * as listeners from "./session_listener.ts";
import * as unexpectedRuns from "./stray_runs.ts";
import type * as unreportedRuns from "./unheard_runs.ts";

/** A run of a task. */
export interface RunOfTask {
  readonly task: Workflow.Task;
  readonly run: number;
}

/** What they work with. */
export interface PreviousRunsOptions {
  readonly clock: Ports.Clock;
  readonly tracked: trackedRuns.TrackedRuns;
  readonly unreported: unreportedRuns.UnreportedRuns;
  readonly unansweredStarts: unansweredStarts.LooseStarts;
  /** Tells the present life to stop a run that is still waited for. */
  readonly blockStart: (assignment: assignments.Occupant) => void;
  /** The same for a run that nobody waits for. */
  readonly blockRun: (run: Ports.RunRef) => void;
}

/** The answer of a life, beside what was known before it. */
export interface IncarnationAnswer {
  readonly view: Ports.EndpointView;
  /** Whether this life has begun since the known one answered last. */
  readonly isNew: boolean;
  /** Whether none was known: starts may have been sent to one at another address. */
  readonly isFirst: boolean;
  /** What is known of the end of the life before. */
  readonly evidence: evidences.EndEvidence;
  /** Whether that end was taken in already. */
  readonly hasEnded: boolean;
}

/** Those of one endpoint. */
export class PreviousRuns {
  readonly #options: PreviousRunsOptions;
  readonly #ends = new Map<string, listeners.SessionEnd>();

  constructor(options: PreviousRunsOptions) {
    this.#options = options;
  }

  /** Whether a life that has ended had it, and the present one has not shown it. */
  has(run: RunOfTask): boolean {
    return this.#ends.has(taskRunName(run));
  }

  /** How a run ended with the life that had it; null where it is none of these. */
  take(run: RunOfTask): listeners.SessionEnd | null {
    const end = this.#ends.get(taskRunName(run)) ?? null;
    this.#ends.delete(taskRunName(run));
    return end;
  }

  /**
   * Runs that were sent to another life than the one that answers, and that this one
   * does not show, have ended with that life. Orders of ours that had no answer may
   * still reach the present life: it is told to stop these runs before they are over.
   */
  endAbsent(answer: IncarnationAnswer): void {
    const { runs, unreported } = this.#findAbsent(answer.view);
    const isEmpty = runs.length + unreported.length === 0;
    const { isNew, isFirst, hasEnded, evidence } = answer;
    if (!isEmpty || (isNew && !hasEnded)) this.#end(runs, unreported, evidence);
    if (isNew || isFirst) this.#blockUnansweredStarts(runs);
  }

  #findAbsent({ bornMs, held, ended }: Ports.EndpointView) {
    const { tracked, unreported } = this.#options;
    const sentElsewhere = tracked.all.filter((one) =>
      assignments.isOfOtherIncarnation(one, bornMs)
    );
    const sentUnreported = unreported.all.filter((one) =>
      one.bornMs !== null && one.bornMs !== bornMs
    );
    const isEmpty = sentElsewhere.length + sentUnreported.length === 0;
    const reported = new Set(
      isEmpty ? [] : [...held, ...ended].map(unexpectedRuns.runName),
    );
    const isAbsent = (one: RunOfTask) =>
      !reported.has(taskRunName(one)) && !this.has(one);
    return {
      runs: sentElsewhere.filter(isAbsent),
      unreported: sentUnreported.filter(isAbsent),
    };
  }

  #end(
    tracked: readonly assignments.Occupant[],
    unreported: readonly unreportedRuns.UnheardRun[],
    evidence: evidences.EndEvidence,
  ): void {
    const { clock, blockStart } = this.#options;
    const nowMs = clock.monotonicMs();
    const proof = evidences.EndProof.Restarted;
    const endOf = evidence.end(proof, tracked, unreported);
    for (const one of tracked) {
      this.#ends.set(
        taskRunName(one),
        endOf(evidence.presenceOf(one, nowMs)),
      );
      // What an earlier coordinator sent, the present life takes no more.
      if (one.sentAtMs !== null) blockStart(one);
    }
    for (const one of unreported) {
      this.#ends.set(taskRunName(one), endOf(one.presence));
    }
  }

  #blockUnansweredStarts(tracked: readonly assignments.Occupant[]): void {
    const names = new Set(tracked.map(taskRunName));
    for (const run of this.#options.unansweredStarts.all) {
      if (!names.has(unexpectedRuns.runName(run))) this.#options.blockRun(run);
    }
  }
}

/** Name of a run, as endpoints name it. */
function taskRunName({ task, run }: RunOfTask): string {
  return unexpectedRuns.runName({ task: task.name, run });
}
