/** What a drill counts. */

/** Counts of one drill; those under `forbidden` must be 0. */
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
  /** Longest time without an urgent start around an owner's kill. */
  readonly urgentGapKillMs: number;
  /** The same around an owner's pause. */
  readonly urgentGapPauseMs: number;
  /** The same over the whole drill, outages included. */
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

/** What must never happen. */
export interface ForbiddenCounts {
  readonly wrongAnswers: number;
  readonly doubledUnrepeatable: number;
  readonly notRunButRan: number;
  readonly partialGangs: number;
  readonly lostJobs: number;
  readonly configReversals: number;
  readonly cutRequests: number;
}
