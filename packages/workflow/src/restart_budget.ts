/**
 * How often work may be started again: the one place that counts failed runs,
 * crashed endpoints and runs whose end is not known, and says when to give up.
 */
import type * as spec from "./spec.ts";

/** Endpoints that have crashed under one task, or may have. */
export interface CrashCount {
  /** Crashes laid to the task. */
  readonly laid: number;
  /** Crashes with which so many endpoints fell that the task is not to blame. */
  readonly excused: number;
  /** How sure it is that the task's runs were there: their presence, summed. */
  readonly presence: number;
  /** Endpoints that crashed and on which nothing has shown the task's run. */
  readonly unseen: number;
}

/** How sure it is that a run was on the endpoint that crashed. */
export enum Presence {
  /** Its start may have been lost, or came when the endpoint had ended. */
  Unknown = 0,
  /**
   * The endpoint had answered just before the start was sent and never again.
   */
  Likely = 1,
  /** Its start was answered, or a look has shown it. */
  Certain = 2,
}

/** A task under which no endpoint has crashed. */
export const NO_CRASHES: CrashCount = {
  laid: 0,
  excused: 0,
  presence: 0,
  unseen: 0,
};

/** Why a task is not started any more. */
export enum GiveUpReason {
  /** As many of its runs have failed as its queue allows. */
  Failures = "failures",
  /** Too many endpoints have crashed under it. */
  Crashes = "crashes",
}

/**
 * Crashes laid to a task after which it is given up, if nothing else ran where
 * the last one happened. Operators allow two more starts after a third crash;
 * up to three are needed to tell a task from its neighbours.
 */
const MOST_LAID = 3;
/**
 * Crashes laid to a task after which it is given up whoever stood beside it: of the
 * two starts that operators allow after a third crash, one is left for an order
 * that an endpoint carries out late.
 */
const MOST_CRASHES = 4;
/**
 * The same with those for which others are to blame, and with those that may have
 * come before the start. It is all that operators allow.
 */
const MOST_IN_ALL = 5;
/**
 * Operators take a task for good until two endpoints crashed under it. Crashes with
 * which it was likely there don't show that, however many they are: in random plays
 * half of such runs of good work had ended before.
 */
const LEAST_CERTAIN = 2;
/**
 * The same where all starts that operators allow are used: three likely ones. One
 * is likely where the endpoint answered within 0.15 s before the start.
 */
const LEAST_PRESENCE_IN_ALL = 3 * Presence.Likely;
/** A lasting task that has run for so long, in ms, is not what ended its endpoint. */
const LASTING_PROVEN_MS = 30_000;

/** How many endpoints crashed at one moment. */
export enum CrashFellows {
  /** So few that a task may have done it. */
  Few = 0,
  /** More than tasks take with them, unless several such tasks began together. */
  Several = 1,
  /** A loss of power or of a network, whatever ran there. */
  Many = 2,
}

/** What is known of a crash. */
export interface CrashEvidence {
  /** Nothing but this task's unit ran on the endpoint. */
  readonly wasAlone: boolean;
  readonly fellows: CrashFellows;
  readonly presence: Presence;
}

/** Nothing speaks for or against the task. */
export const NO_EVIDENCE: CrashEvidence = {
  wasAlone: false,
  fellows: CrashFellows.Few,
  presence: Presence.Unknown,
};

/** Whether a lasting task has run for so long that an older crash is no trait. */
export function isProvenLasting(step: spec.StepSpec, ranMs: number): boolean {
  return step.lasting && ranMs >= LASTING_PROVEN_MS;
}

/**
 * Whether the crashes under a task are reason enough to give it up. Starts that it has
 * spent otherwise, or whose ends are not known, show nothing: they count only where two
 * crashes are sure.
 */
export function hasCrashedTooOften(
  count: CrashCount,
  { wasAlone }: Pick<CrashEvidence, "wasAlone">,
  spentStarts: number,
): boolean {
  const { laid, excused, presence, unseen } = count;
  const inAll = laid + excused + unseen;
  if (inAll >= MOST_IN_ALL) return presence >= LEAST_PRESENCE_IN_ALL;
  if (countCertain(count) < LEAST_CERTAIN) return false;
  return inAll + spentStarts >= MOST_IN_ALL || laid >= MOST_CRASHES ||
    (laid >= MOST_LAID && wasAlone);
}

/**
 * Crashes with which the task certainly was there, at least: each that counts brings
 * its presence, and one that was only likely brings one. Excused ones may have brought
 * none.
 */
function countCertain({ laid, excused, presence }: CrashCount): number {
  return presence - laid - excused;
}

/**
 * The count after one more crash. Where nothing has shown the run on the endpoint,
 * the crash makes the task a suspect and counts nothing: the start may have been
 * sent to an endpoint that had ended before.
 */
export function addCrash(
  count: CrashCount,
  { fellows, presence }: CrashEvidence,
): CrashCount {
  if (presence === Presence.Unknown) {
    const added = { ...count, unseen: count.unseen + 1 };
    return excuseCrash(added, { fellows, presence });
  }
  const added = {
    ...count,
    laid: count.laid + 1,
    presence: count.presence + presence,
  };
  return excuseCrash(added, { fellows, presence });
}

/**
 * Whether a task has spent all starts that operators allow after a third crash, the
 * last of them without a crash, and is known to have crashed endpoints.
 */
export function hasSpentAllStarts(
  count: CrashCount,
  spentStarts: number,
): boolean {
  const { laid, excused, unseen } = count;
  return laid + excused + unseen + spentStarts >= MOST_IN_ALL &&
    countCertain(count) >= LEAST_CERTAIN;
}

/**
 * Whether each further start of a task may be one of the two that operators allow
 * after a third crash: none is spent without need.
 */
export function hasFewStarts(possibleCrashes: number): boolean {
  return possibleCrashes >= MOST_LAID;
}

/** Ends of a task that were crashes, or may have been. */
export function countPossibleCrashes(
  { laid, excused, unseen }: CrashCount,
  goneRuns: number,
): number {
  return laid + excused + unseen + goneRuns;
}

/** Shortest pause of a task that has used all starts that operators allow, in ms. */
const LEAST_HOLD_MS = 10_000;
/** Longest such pause, in ms: a cut that lasts a minute is an outage of its own. */
const MOST_HOLD_MS = 60_000;

/**
 * How long a task waits that may have crashed as many endpoints as operators allow,
 * while too little is shown to give it up: twice as long with each further end.
 */
export function holdMs(possibleCrashes: number, spentStarts = 0): number {
  const over = possibleCrashes + spentStarts - MOST_IN_ALL;
  return over < 0 ? 0 : Math.min(MOST_HOLD_MS, LEAST_HOLD_MS * 2 ** over);
}

/**
 * The count after a counted crash was found to have struck other endpoints as well.
 * Where they are several, one is excused for each task: tasks that crash their
 * endpoints may do so together. Where they are many, each is.
 */
export function excuseCrash(
  count: CrashCount,
  { fellows, presence }: Pick<CrashEvidence, "fellows" | "presence">,
): CrashCount {
  if (fellows === CrashFellows.Few) return count;
  if (fellows === CrashFellows.Several && count.excused > 0) return count;
  const excused = count.excused + 1;
  if (presence === Presence.Unknown) {
    return { ...count, unseen: Math.max(0, count.unseen - 1), excused };
  }
  return { ...count, laid: Math.max(0, count.laid - 1), excused };
}

/**
 * Whether a run whose end is not known may be given up and followed by another.
 * Each such end may turn out to be a failure or a crash, so no more of them may
 * be open than failures and crashes are left.
 */
export function mayLeaveEndOpen(known: {
  readonly failures: number;
  readonly crashes: CrashCount;
  readonly attempts: number;
  /** Runs whose ends are open, with this one. */
  readonly open: number;
}): boolean {
  const { failures, crashes, attempts, open } = known;
  return failures + open < attempts &&
    crashes.laid + crashes.excused + crashes.unseen + open < MOST_LAID;
}
