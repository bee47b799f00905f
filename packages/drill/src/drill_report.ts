/** Report of a drill. */

/** Counts and times of one drill; the counts under `forbidden` must be 0. */
export interface DrillReport {
  readonly seed: number;
  readonly seconds: number;
  readonly faults: readonly string[];
  readonly submitted: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly refused: number;
  readonly longAccepted: number;
  readonly longEnded: Readonly<Record<string, number>>;
  readonly forbidden: ForbiddenCounts;
  /** Longest time between starts of single tasks around the kill of a cell's owner. */
  readonly urgentGapKillMs: number;
  /** The same around the pause of a cell's owner. */
  readonly urgentGapPauseMs: number;
  /** The same over the whole drill, including outages. */
  readonly urgentGapAnyMs: number;
  readonly leavingLastNewWorkMs: number;
  readonly config: {
    readonly applied: number;
    readonly conflicts: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
  };
}

/** Counts of events that must never happen. */
export interface ForbiddenCounts {
  readonly wrongAnswers: number;
  readonly doubledUnrepeatable: number;
  readonly notRunButRan: number;
  readonly partialGangs: number;
  readonly lostJobs: number;
  readonly configReversals: number;
  readonly cutRequests: number;
}
