/**
 * Runs of previous incarnations of one endpoint, and how each of them ends unless the
 * current incarnation reports it. An order for a previous incarnation may be executed
 * late, by the current one. So a run is over only if the current incarnation was
 * ordered to stop it, and a later poll does not show it. Where several copies of a start
 * were sent, several incarnations may have executed it, and the crash of each counts.
 */
import type * as Ports from "@cairngate/ports";
import * as Workflow from "@cairngate/workflow";
import type * as trackedRuns from "./tracked_runs.ts";
import * as evidences from "./end_evidence.ts";
import * as unansweredStarts from "./unanswered_starts.ts";
import * as assignments from "./assignment.ts";
import type * as listeners from "./session_listener.ts";
import * as unexpectedRuns from "./unexpected_runs.ts";
import type * as unreportedRuns from "./unreported_runs.ts";

/** Identifies a run of a task. */
export interface RunOfTask {
  readonly task: Workflow.Task;
  readonly run: number;
}

/** A run with the birth time of the incarnation that it was sent to, if known. */
interface SentRun extends RunOfTask {
  readonly bornMs: number | null;
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
  /** Birth time of that incarnation; null if unknown. */
  readonly previousBornMs: number | null;
  /** Whether that end was processed already. */
  readonly hasEnded: boolean;
}

/** An incarnation of the endpoint and the evidence on its end. */
export interface EndedIncarnation {
  readonly bornMs: number | null;
  readonly evidence: evidences.EndEvidence;
}

/** The end of a run with the incarnations that had it, or may have had it. */
interface PreviousEnd {
  /** Birth time of the newest incarnation that the run was sent to or reported by. */
  readonly bornMs: number | null;
  readonly end: listeners.RunEndReport;
}

/** Runs of previous incarnations of one endpoint. */
export class PreviousRuns {
  readonly #options: PreviousRunsOptions;
  readonly #ends = new Map<string, PreviousEnd>();

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
    const previous = this.#ends.get(taskRunName(run));
    this.#ends.delete(taskRunName(run));
    return previous?.end ?? null;
  }

  /** Whether the run ended with an earlier incarnation than this one. */
  hasEndedBefore(
    assignment: assignments.Assignment,
    bornMs: number | null,
  ): boolean {
    return this.has(assignment) &&
      assignments.isOfOtherIncarnation(assignment, bornMs);
  }

  /**
   * Runs of earlier incarnations that this one may have executed, too: there was another
   * copy of the start, which may have been delivered after the last answer, and no stop
   * was confirmed.
   */
  findPossibleRepeats(
    { bornMs, evidence }: EndedIncarnation,
  ): readonly unreportedRuns.UnreportedRun[] {
    const { Unknown: presence } = Workflow.Presence;
    return this.#options.tracked.all
      .filter((one) =>
        this.hasEndedBefore(one, bornMs) &&
        this.#hasUndeliveredCopy(one, evidence.answeredAtMs)
      )
      .map(({ task, run }) => ({ task, run, bornMs, presence }));
  }

  /** Adds the end of one more incarnation to runs that it may have repeated. */
  addRepeatEnds(
    repeats: readonly unreportedRuns.UnreportedRun[],
    endOf: evidences.EndOfRun,
  ): void {
    for (const run of repeats) {
      const name = taskRunName(run);
      const previous = this.#ends.get(name);
      if (previous === undefined) continue;
      const end = addEarlierCrashes(endOf(run), { previous: previous.end });
      this.#ends.set(name, { ...previous, end });
    }
  }

  /**
   * Removes the end of a run with earlier incarnations, and returns its end with the
   * last one, which has executed one copy of the start, including the crashes of the
   * earlier ones.
   */
  takeMerged(
    assignment: assignments.Assignment,
    end: listeners.RunEndReport,
  ): listeners.RunEndReport {
    const previous = this.take(assignment);
    return previous === null ? end : addEarlierCrashes(end, {
      previous,
      maxCrashes: assignment.deliverableCopies - 1,
    });
  }

  /**
   * Ends the runs that were sent to another incarnation than the answering one and
   * that this one does not report. Unanswered orders may still reach it, so it is
   * ordered to stop these runs before they count as over.
   */
  endAbsent(answer: IncarnationAnswer): void {
    const { runs, unreported } = this.#findAbsent(answer.view);
    const isEmpty = runs.length + unreported.length === 0;
    const { isNew, isFirst, hasEnded } = answer;
    if (!isEmpty || (isNew && !hasEnded)) this.#end(runs, unreported, answer);
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
    const isAbsent = (one: SentRun) =>
      !reported.has(taskRunName(one)) && !this.#hasEndOf(one);
    return {
      runs: sentElsewhere.filter(isAbsent),
      unreported: sentUnreported.filter(isAbsent),
    };
  }

  #end(
    tracked: readonly assignments.Assignment[],
    unreported: readonly unreportedRuns.UnreportedRun[],
    { isNew, hasEnded, evidence, previousBornMs }: IncarnationAnswer,
  ): void {
    const { clock, blockStart } = this.#options;
    const nowMs = clock.monotonicMs();
    const proof = evidences.EndProof.Restarted;
    const repeats = isNew && !hasEnded
      ? this.findPossibleRepeats({ bornMs: previousBornMs, evidence })
      : [];
    const endOf = evidence.end(proof, tracked, [...unreported, ...repeats]);
    this.addRepeatEnds(repeats, endOf);
    for (const one of tracked) {
      const presence = evidence.presenceOf(one, nowMs);
      const { bornMs } = one;
      const end = this.takeMerged(one, endOf({ presence, bornMs }));
      this.#ends.set(taskRunName(one), { bornMs, end });
      // The current incarnation refuses orders of an earlier coordinator.
      if (one.sentAtMs !== null) blockStart(one);
    }
    for (const one of unreported) {
      const { bornMs } = one;
      this.#ends.set(taskRunName(one), { bornMs, end: endOf(one) });
    }
  }

  /** Whether the end of the run with the incarnation that it was sent to is known. */
  #hasEndOf(run: SentRun): boolean {
    return this.#ends.get(taskRunName(run))?.bornMs === run.bornMs;
  }

  /**
   * Whether a copy of the start is left that no ended incarnation has executed and that
   * may have been delivered at this time or later.
   */
  #hasUndeliveredCopy(
    assignment: assignments.Assignment,
    sinceMs: number,
  ): boolean {
    const { deliverableCopies, expectedSinceMs, resentAtMs } = assignment;
    const end = this.#ends.get(taskRunName(assignment))?.end;
    if (end === undefined || resentAtMs === null) return false;
    // An endpoint that has confirmed a stop refuses the start.
    if (expectedSinceMs !== null) return false;
    const { earlierCrashes = [] } = end;
    return earlierCrashes.length + 1 < deliverableCopies &&
      sinceMs - resentAtMs <= unansweredStarts.LONGEST_ORDER_DELAY_MS;
  }

  #blockUnansweredStarts(tracked: readonly assignments.Assignment[]): void {
    const names = new Set(tracked.map(taskRunName));
    for (const run of this.#options.unansweredStarts.all) {
      if (!names.has(unexpectedRuns.runName(run))) this.#options.blockRun(run);
    }
  }
}

/**
 * Returns an end that includes the crashes of earlier incarnations.
 * @param maxCrashes limit of these crashes
 */
function addEarlierCrashes(
  end: listeners.RunEndReport,
  { previous, maxCrashes = Number.POSITIVE_INFINITY }: {
    readonly previous: listeners.RunEndReport;
    readonly maxCrashes?: number;
  },
): listeners.RunEndReport {
  const { crash, earlierCrashes: oldest = [] } = previous;
  const all = crash === undefined ? oldest : [...oldest, crash];
  const earlierCrashes = all.slice(0, Math.max(0, maxCrashes));
  return earlierCrashes.length === 0 ? end : { ...end, earlierCrashes };
}

/** Name of a run as used by endpoints. */
function taskRunName({ task, run }: RunOfTask): string {
  return unexpectedRuns.runName({ task: task.name, run });
}
