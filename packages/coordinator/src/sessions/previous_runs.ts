/**
 * Runs of previous incarnations of one endpoint, and how each of them ends unless the
 * current incarnation reports it. An order for a previous incarnation may be executed
 * late, by the current one. So a run is over only if the current incarnation was
 * ordered to stop it, and a later poll does not show it.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import type * as trackedRuns from "./tracked_runs.ts";
import * as evidences from "./end_evidence.ts";
import type * as unansweredStarts from "./unanswered_starts.ts";
import * as assignments from "./assignment.ts";
import type * as listeners from "./session_listener.ts";
import * as unexpectedRuns from "./unexpected_runs.ts";
import type * as unreportedRuns from "./unreported_runs.ts";

/** Identifies a run of a task. */
export interface RunOfTask {
  readonly task: Workflow.Task;
  readonly run: number;
}

/** Dependencies of the previous runs. */
export interface PreviousRunsOptions {
  readonly clock: Ports.Clock;
  readonly tracked: trackedRuns.TrackedRuns;
  readonly unreported: unreportedRuns.UnreportedRuns;
  readonly unansweredStarts: unansweredStarts.UnansweredStarts;
  /** Orders the current incarnation to stop a run that is still tracked. */
  readonly blockStart: (assignment: assignments.Assignment) => void;
  /** Orders the current incarnation to stop a run that is not tracked any more. */
  readonly blockRun: (run: Ports.RunRef) => void;
}

/** An answer of an incarnation, with what was known before it. */
export interface IncarnationAnswer {
  readonly view: Ports.EndpointReport;
  /** Whether this incarnation started after the last answer of the known one. */
  readonly isNew: boolean;
  /** Whether none was known: starts may have been sent to one at another address. */
  readonly isFirst: boolean;
  /** Evidence on the end of the previous incarnation. */
  readonly evidence: evidences.EndEvidence;
  /** Whether that end was processed already. */
  readonly hasEnded: boolean;
}

/** Runs of previous incarnations of one endpoint. */
export class PreviousRuns {
  readonly #options: PreviousRunsOptions;
  readonly #ends = new Map<string, listeners.RunEndReport>();

  constructor(options: PreviousRunsOptions) {
    this.#options = options;
  }

  /**
   * Whether an ended incarnation had the run and the current one has not reported it.
   */
  has(run: RunOfTask): boolean {
    return this.#ends.has(taskRunName(run));
  }

  /** Removes and returns the end of a run with its incarnation; null if none. */
  take(run: RunOfTask): listeners.RunEndReport | null {
    const end = this.#ends.get(taskRunName(run)) ?? null;
    this.#ends.delete(taskRunName(run));
    return end;
  }

  /**
   * Ends the runs that were sent to another incarnation than the answering one and
   * that this one does not report. Unanswered orders may still reach it, so it is
   * ordered to stop these runs before they count as over.
   */
  endAbsent(answer: IncarnationAnswer): void {
    const { runs, unreported } = this.#findAbsent(answer.view);
    const isEmpty = runs.length + unreported.length === 0;
    const { isNew, isFirst, hasEnded, evidence } = answer;
    if (!isEmpty || (isNew && !hasEnded)) this.#end(runs, unreported, evidence);
    if (isNew || isFirst) this.#blockUnansweredStarts(runs);
  }

  #findAbsent({ bornMs, held, ended }: Ports.EndpointReport) {
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
    tracked: readonly assignments.Assignment[],
    unreported: readonly unreportedRuns.UnreportedRun[],
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
      // The current incarnation refuses orders of an earlier coordinator.
      if (one.sentAtMs !== null) blockStart(one);
    }
    for (const one of unreported) {
      this.#ends.set(taskRunName(one), endOf(one.presence));
    }
  }

  #blockUnansweredStarts(tracked: readonly assignments.Assignment[]): void {
    const names = new Set(tracked.map(taskRunName));
    for (const run of this.#options.unansweredStarts.all) {
      if (!names.has(unexpectedRuns.runName(run))) this.#options.blockRun(run);
    }
  }
}

/** Name of a run as used by endpoints. */
function taskRunName({ task, run }: RunOfTask): string {
  return unexpectedRuns.runName({ task: task.name, run });
}
