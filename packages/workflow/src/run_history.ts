/**
 * The runs of a task that counted towards giving it up, or might have: how each
 * ended, on what evidence, and what it counted as. It explains why a task was given
 * up, and shows whether a reported failure is counted already.
 */
import * as budgets from "./restart_budget.ts";
import type * as tasks from "./task_state.ts";

/** The evidence for how a run ended. */
export enum RunEvidence {
  /** The endpoint reported it. */
  Reported = "word",
  /**
   * The endpoint is shown to have ended; the run was confirmed there and its time
   * was not up.
   */
  Confirmed = "seen",
  /**
   * The endpoint is shown to have ended; at its last answer the run's time was not
   * up, or the start was sent shortly after that answer.
   */
  Likely = "likely",
  /** The endpoint is shown to have ended; the run was never confirmed. */
  Unconfirmed = "unshown",
  /**
   * The endpoint is unreachable, and it is not listed or the task is a crash
   * suspect.
   */
  Unlisted = "unlisted",
  /** The gang ended, and the endpoint is unreachable. */
  GangEnded = "unheard",
  /** The outcome was unknown until the endpoint answered again. */
  Withdrawn = "withdrawn",
}

/** What the end of a run counted as. */
export enum CountedAs {
  Failure = "failure",
  /** A crash attributed to the task. */
  Crash = "crash",
  /**
   * A crash excused because so many endpoints crashed together that the task is not
   * the cause.
   */
  Excused = "excused",
  /**
   * A possible crash, not attributed to the task, but included in the limit for all
   * possible crashes.
   */
  PossibleCrash = "suspicion",
  Nothing = "nothing",
}

/** Where a run was and how it ended. */
export interface RunOutcome {
  readonly run: number;
  /** If a gang ended because of another member: that member's endpoint. */
  readonly endpoint: string;
  readonly how: tasks.RunEnd;
}

/** One run of a history. */
export interface RunEntry extends RunOutcome {
  readonly evidence: RunEvidence;
  readonly counted: CountedAs;
}

/** The history of a task. */
export interface RunHistory {
  /** In the order in which the ends became known. */
  readonly entries: readonly RunEntry[];
  /**
   * Some runs may be missing: there were too many, or an earlier coordinator did
   * not store them.
   */
  readonly isPartial: boolean;
}

/** The history of a task without ends that might count. */
export const NO_HISTORY: RunHistory = { entries: [], isPartial: false };

/** A history without the runs that an earlier coordinator recorded. */
export const MISSING_HISTORY: RunHistory = { entries: [], isPartial: true };

/**
 * Maximum number of entries of one task. Queues of the users allow three failures
 * and the crash limits allow five ends in total; the rest is for runs that counted
 * nothing.
 */
const MAX_ENTRIES = 12;

const EVIDENCE_BY_PRESENCE: Readonly<Record<budgets.Presence, RunEvidence>> = {
  [budgets.Presence.Unknown]: RunEvidence.Unconfirmed,
  [budgets.Presence.Likely]: RunEvidence.Likely,
  [budgets.Presence.Certain]: RunEvidence.Confirmed,
};

/** An entry for a counted failure. */
export function failedEntry(ended: RunOutcome): RunEntry {
  const evidence = RunEvidence.Reported;
  return makeEntry(ended, { evidence, counted: CountedAs.Failure });
}

/** An entry for a crash, given the task's crash count before and after it. */
export function crashedEntry(
  ended: RunOutcome,
  crash: {
    readonly presence: budgets.Presence;
    readonly before: budgets.CrashCount;
    readonly after: budgets.CrashCount;
  },
): RunEntry {
  const evidence = EVIDENCE_BY_PRESENCE[crash.presence];
  const counted = countedBetween(crash.before, crash.after);
  return makeEntry(ended, { evidence, counted });
}

/** An entry for a run that counts nothing so far. */
export function uncountedEntry(
  ended: RunOutcome,
  evidence: RunEvidence,
): RunEntry {
  return makeEntry(ended, { evidence, counted: CountedAs.Nothing });
}

/** Adds a run to a history, or replaces its entry with newer information. */
export function addEntry(history: RunHistory, entry: RunEntry): RunHistory {
  const isSameRun = ({ run, endpoint }: RunEntry) =>
    run === entry.run && endpoint === entry.endpoint;
  const existing = history.entries.filter(isSameRun);
  if (!isCounted(entry) && existing.some(isCounted)) return history;
  const others = history.entries.filter((other) =>
    !isSameRun(other) || isCounted(other)
  );
  return trimToMaxEntries({ ...history, entries: [...others, entry] });
}

/**
 * Whether the failure of a run is certainly not counted yet: the history names all
 * counted failures, and this run is not among them.
 */
export function isFailureNew(
  { entries }: RunHistory,
  { run, failures }: { readonly run: number; readonly failures: number },
): boolean {
  const counted = entries.filter((entry) =>
    entry.counted === CountedAs.Failure
  );
  return counted.length === failures &&
    counted.every((entry) => entry.run !== run);
}

/** Marks the newest counted crash of a run with this presence as excused. */
export function excuseRun(
  history: RunHistory,
  { run, presence }: {
    readonly run: number;
    readonly presence: budgets.Presence;
  },
): RunHistory {
  const { entries } = history;
  const index = entries.findLastIndex((entry) =>
    entry.run === run && entry.evidence === EVIDENCE_BY_PRESENCE[presence] &&
    (entry.counted === CountedAs.Crash ||
      entry.counted === CountedAs.PossibleCrash)
  );
  if (index < 0) return history;
  const excused = { ...entries[index], counted: CountedAs.Excused };
  return { ...history, entries: entries.with(index, excused) };
}

/** The counts of a task. */
export interface TaskCounts {
  readonly failures: number;
  readonly crashes: budgets.CrashCount;
}

/** Marks a history as partial if its entries do not add up to the task's counts. */
export function markIfIncomplete(
  history: RunHistory,
  { failures, crashes }: TaskCounts,
): RunHistory {
  const countOf = (kind: CountedAs) =>
    history.entries.filter(({ counted }) => counted === kind).length;
  const isComplete = countOf(CountedAs.Failure) === failures &&
    countOf(CountedAs.Crash) === crashes.laid &&
    countOf(CountedAs.Excused) === crashes.excused &&
    countOf(CountedAs.PossibleCrash) === crashes.unseen;
  return isComplete ? history : { ...history, isPartial: true };
}

function makeEntry(
  { run, endpoint, how }: RunOutcome,
  assessment: Pick<RunEntry, "evidence" | "counted">,
): RunEntry {
  return { run, endpoint, how, ...assessment };
}

function countedBetween(
  before: budgets.CrashCount,
  after: budgets.CrashCount,
): CountedAs {
  if (after.laid > before.laid) return CountedAs.Crash;
  if (after.excused > before.excused) return CountedAs.Excused;
  return after.unseen > before.unseen
    ? CountedAs.PossibleCrash
    : CountedAs.Nothing;
}

function isCounted({ counted }: RunEntry): boolean {
  return counted !== CountedAs.Nothing;
}

/** Drops the oldest entry that counted nothing, or else the oldest entry. */
function trimToMaxEntries(history: RunHistory): RunHistory {
  const { entries } = history;
  if (entries.length <= MAX_ENTRIES) return history;
  const uncountedIndex = entries.findIndex((entry) => !isCounted(entry));
  return {
    entries: entries.toSpliced(Math.max(0, uncountedIndex), 1),
    isPartial: true,
  };
}
