/**
 * Runs of a task that counted towards giving it up, or might have: how each of them
 * ended, what shows it and what it counted. It is kept for people; nothing is
 * decided by it.
 */
import * as budgets from "./restart_budget.ts";
import type * as tasks from "./task_state.ts";

/** What shows how a run ended. */
export enum RunEvidence {
  /** Its endpoint told it. */
  OwnWord = "word",
  /**
   * Its endpoint was shown to have ended; the run had been seen there and its time
   * was not up.
   */
  SeenThere = "seen",
  /**
   * Its endpoint was shown to have ended; the run's time was not up at its last
   * answer, or the start had followed one.
   */
  Likely = "likely",
  /** Its endpoint was shown to have ended; nothing shows the run under way. */
  NeverShown = "unshown",
  /** Its endpoint is not heard, and not listed or the task is in doubt. */
  NotListed = "unlisted",
  /** Its gang ended, and its endpoint is not heard. */
  NotHeard = "unheard",
  /** Its end was not known; then its endpoint answered again. */
  Withdrawn = "withdrawn",
}

/** What the end of a run counted. */
export enum RunCount {
  Failure = "failure",
  /** A crash that is laid to the task. */
  Crash = "crash",
  /** A crash with which so many endpoints fell that the task is not to blame. */
  Excused = "excused",
  /** Laid to nobody; one of the ends of which a task has only so many in all. */
  Suspicion = "suspicion",
  Nothing = "nothing",
}

/** Where a run was and how it ended. */
export interface RunAtEnd {
  readonly run: number;
  /** For a member of a gang that ended with another one: that one's endpoint. */
  readonly endpoint: string;
  readonly how: tasks.RunEnd;
}

/** One run of a history. */
export interface RunEntry extends RunAtEnd {
  readonly evidence: RunEvidence;
  readonly counted: RunCount;
}

/** The history of a task. */
export interface RunHistory {
  /** In the order in which their ends became known. */
  readonly entries: readonly RunEntry[];
  /** Some may be missing: there were too many, or an earlier term saw them. */
  readonly isPartial: boolean;
}

/** Nothing has ended that might count. */
export const NO_HISTORY: RunHistory = { entries: [], isPartial: false };

/** Runs are missing that an earlier coordinator saw. */
export const LOST_HISTORY: RunHistory = { entries: [], isPartial: true };

/**
 * Entries of one task. Queues of the users allow three failures, the rules for
 * crashes five ends in all; the rest is for runs that counted nothing.
 */
const MOST_ENTRIES = 12;

const EVIDENCE_OF: Readonly<Record<budgets.Presence, RunEvidence>> = {
  [budgets.Presence.Unknown]: RunEvidence.NeverShown,
  [budgets.Presence.Likely]: RunEvidence.Likely,
  [budgets.Presence.Certain]: RunEvidence.SeenThere,
};

/** A run that failed and counted. */
export function failedEntry(ended: RunAtEnd): RunEntry {
  const evidence = RunEvidence.OwnWord;
  return makeEntry(ended, { evidence, counted: RunCount.Failure });
}

/** A run whose endpoint crashed, with the task's count before it and after. */
export function crashedEntry(
  ended: RunAtEnd,
  known: {
    readonly presence: budgets.Presence;
    readonly before: budgets.CrashCount;
    readonly after: budgets.CrashCount;
  },
): RunEntry {
  const evidence = EVIDENCE_OF[known.presence];
  const counted = countedBetween(known.before, known.after);
  return makeEntry(ended, { evidence, counted });
}

/** A run that counts nothing as far as is known. */
export function openEntry(ended: RunAtEnd, evidence: RunEvidence): RunEntry {
  return makeEntry(ended, { evidence, counted: RunCount.Nothing });
}

/** The history with one more run, or with more that is known of one. */
export function addEntry(history: RunHistory, entry: RunEntry): RunHistory {
  const isSame = ({ run, endpoint }: RunEntry) =>
    run === entry.run && endpoint === entry.endpoint;
  const known = history.entries.filter(isSame);
  if (!hasCounted(entry) && known.some(hasCounted)) return history;
  const others = history.entries.filter((one) =>
    !isSame(one) || hasCounted(one)
  );
  return limit({ ...history, entries: [...others, entry] });
}

/** The history after the crash with a run was found to be nobody's doing. */
export function excuseRun(history: RunHistory, run: number): RunHistory {
  const { entries } = history;
  const at = entries.findLastIndex((one) =>
    one.run === run &&
    (one.counted === RunCount.Crash || one.counted === RunCount.Suspicion)
  );
  if (at < 0) return history;
  const excused = { ...entries[at], counted: RunCount.Excused };
  return { ...history, entries: entries.with(at, excused) };
}

/** What was counted of a task. */
export interface Counted {
  readonly failures: number;
  readonly crashes: budgets.CrashCount;
}

/** The history beside what was counted: it is partial where they differ. */
export function checkHistory(
  history: RunHistory,
  { failures, crashes }: Counted,
): RunHistory {
  const countOf = (which: RunCount) =>
    history.entries.filter(({ counted }) => counted === which).length;
  const isComplete = countOf(RunCount.Failure) === failures &&
    countOf(RunCount.Crash) === crashes.laid &&
    countOf(RunCount.Excused) === crashes.excused &&
    countOf(RunCount.Suspicion) === crashes.unseen;
  return isComplete ? history : { ...history, isPartial: true };
}

function makeEntry(
  { run, endpoint, how }: RunAtEnd,
  judged: Pick<RunEntry, "evidence" | "counted">,
): RunEntry {
  return { run, endpoint, how, ...judged };
}

function countedBetween(
  before: budgets.CrashCount,
  after: budgets.CrashCount,
): RunCount {
  if (after.laid > before.laid) return RunCount.Crash;
  if (after.excused > before.excused) return RunCount.Excused;
  return after.unseen > before.unseen ? RunCount.Suspicion : RunCount.Nothing;
}

function hasCounted({ counted }: RunEntry): boolean {
  return counted !== RunCount.Nothing;
}

/** Leaves out the oldest that counted nothing, or the oldest. */
function limit(history: RunHistory): RunHistory {
  const { entries } = history;
  if (entries.length <= MOST_ENTRIES) return history;
  const idle = entries.findIndex((one) => !hasCounted(one));
  return { entries: entries.toSpliced(Math.max(0, idle), 1), isPartial: true };
}
