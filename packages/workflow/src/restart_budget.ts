/**
 * Limits how often a task is restarted: this module alone weighs failed runs,
 * endpoint crashes and runs of unknown outcome, and decides when to give up.
 */
import type * as spec from "./spec.ts";

/** Endpoint crashes, certain or possible, under one task. */
export interface CrashCount {
  /** Crashes attributed to the task. */
  readonly laid: number;
  /**
   * Crashes excused because so many endpoints crashed together that the task is not
   * the cause.
   */
  readonly excused: number;
  /**
   * Certainty that the task's runs were on the crashed endpoints: the sum of their
   * `Presence` values.
   */
  readonly presence: number;
  /** Crashes of endpoints on which the task's run was never confirmed. */
  readonly unseen: number;
  /** Excused crashes that add no presence; omitted if there are none. */
  readonly excusedUnseen?: number;
}

/** How certain it is that a run was on the endpoint that crashed. */
export enum Presence {
  /** The start may have been lost, or arrived after the endpoint had ended. */
  Unknown = 0,
  /** The endpoint answered just before the start was sent and never again. */
  Likely = 1,
  /** The start was answered, or a status read has listed the run. */
  Certain = 2,
}

/** The count of a task under which no endpoint has crashed. */
export const NO_CRASHES: CrashCount = {
  laid: 0,
  excused: 0,
  presence: 0,
  unseen: 0,
};

/** Why a task is not restarted any more. */
export enum GiveUpReason {
  /** As many of its runs have failed as its queue allows. */
  Failures = "failures",
  /** Too many endpoints have crashed under it. */
  Crashes = "crashes",
}

/**
 * Crashes attributed to a task after which it is given up if nothing else ran on
 * the last endpoint. Operators allow two more starts after a third crash; up to
 * three crashes are needed to tell a task from the ones that ran beside it.
 */
const CRASH_LIMIT_ALONE = 3;
/**
 * Crashes attributed to a task after which it is given up whatever ran beside it.
 * Of the two starts that operators allow after a third crash, one is reserved for
 * an order that an endpoint carries out late.
 */
const CRASH_LIMIT = 4;
/**
 * The limit for all possible crashes, including excused ones and those that may
 * have preceded the start. It is the most that operators allow.
 */
const TOTAL_CRASH_LIMIT = 5;
/**
 * Operators give a task the benefit of the doubt until two endpoints have certainly
 * crashed under it. Any number of likely crashes does not prove that: in random
 * simulations half of such runs of harmless tasks had ended before the crash.
 */
const MIN_CERTAIN_CRASHES = 2;
/**
 * The certainty required once all starts that operators allow are used: three
 * likely crashes. A crash is likely if the endpoint answered within 0.15 s before
 * the start.
 */
const MIN_TOTAL_PRESENCE = 3 * Presence.Likely;
/**
 * Run time in ms after which a lasting task is not considered the cause of a crash.
 */
const STABLE_AFTER_MS = 30_000;

/** How many endpoints crashed at the same time. */
export enum CrashScale {
  /** So few that one task may be the cause. */
  Few = 0,
  /** More than one task takes down, unless several such tasks started together. */
  Several = 1,
  /** A loss of power or network, independent of the tasks. */
  Many = 2,
}

/** The evidence about a crash. */
export interface CrashEvidence {
  /** Whether only this task's unit ran on the endpoint. */
  readonly wasAlone: boolean;
  readonly scale: CrashScale;
  readonly presence: Presence;
  /**
   * Birth time of the crashed incarnation of the endpoint; null or omitted if unknown.
   */
  readonly bornMs?: number | null;
}

/** No evidence for or against the task. */
export const NO_EVIDENCE: CrashEvidence = {
  wasAlone: false,
  scale: CrashScale.Few,
  presence: Presence.Unknown,
};

/** Whether a lasting task has run long enough to discard its earlier crashes. */
export function isProvenStable(step: spec.StepSpec, ranMs: number): boolean {
  return step.lasting && ranMs >= STABLE_AFTER_MS;
}

/**
 * Whether the crashes under a task are reason enough to give it up. Starts that
 * ended otherwise, or whose outcome is unknown, prove nothing: they count only if
 * two crashes are certain.
 */
export function hasCrashedTooOften(
  count: CrashCount,
  { wasAlone }: Pick<CrashEvidence, "wasAlone">,
  spentStarts: number,
): boolean {
  const { laid, excused, presence, unseen } = count;
  const total = laid + excused + unseen;
  if (total >= TOTAL_CRASH_LIMIT) return presence >= MIN_TOTAL_PRESENCE;
  if (countCertainCrashes(count) < MIN_CERTAIN_CRASHES) return false;
  return total + spentStarts >= TOTAL_CRASH_LIMIT ||
    laid >= CRASH_LIMIT ||
    (laid >= CRASH_LIMIT_ALONE && wasAlone);
}

/**
 * Number of crashes at which the task was certainly present. Each of these adds a
 * presence of 2 and each likely one a presence of 1.
 */
function countCertainCrashes(
  { laid, excused, presence, excusedUnseen = 0 }: CrashCount,
): number {
  return presence - laid - (excused - excusedUnseen);
}

/**
 * Returns the count after one more crash. If the run was never confirmed on the
 * endpoint, the crash makes the task a suspect but is not attributed to it: the
 * start may have been sent to an endpoint that had already ended.
 */
export function addCrash(
  count: CrashCount,
  { scale, presence }: CrashEvidence,
): CrashCount {
  if (presence === Presence.Unknown) {
    const added = { ...count, unseen: count.unseen + 1 };
    return excuseCrash(added, { scale, presence });
  }
  const added = {
    ...count,
    laid: count.laid + 1,
    presence: count.presence + presence,
  };
  return excuseCrash(added, { scale, presence });
}

/**
 * Whether a task that has certainly crashed endpoints has used all starts that
 * operators allow after a third crash, the last of them without a crash.
 */
export function hasUsedAllStarts(
  count: CrashCount,
  spentStarts: number,
): boolean {
  const { laid, excused, unseen } = count;
  return laid + excused + unseen + spentStarts >= TOTAL_CRASH_LIMIT &&
    countCertainCrashes(count) >= MIN_CERTAIN_CRASHES;
}

/**
 * Whether each further start may be one of the two that operators allow after a
 * third crash, so that none should be wasted.
 */
export function isNearStartLimit(possibleCrashes: number): boolean {
  return possibleCrashes >= CRASH_LIMIT_ALONE;
}

/** Ends of a task that were crashes, or may have been. */
export function countPossibleCrashes(
  { laid, excused, unseen }: CrashCount,
  unknownRuns: number,
): number {
  return laid + excused + unseen + unknownRuns;
}

/**
 * Shortest delay in ms before the restart of a task that has used all starts that
 * operators allow.
 */
const MIN_RESTART_DELAY_MS = 10_000;
/**
 * Longest such delay in ms: a network partition of a minute is an outage in itself.
 */
const MAX_RESTART_DELAY_MS = 60_000;

/**
 * Restart delay in ms of a task that may have crashed as many endpoints as
 * operators allow while the evidence does not suffice to give it up. The delay
 * doubles with each further end.
 */
export function restartDelayMs(
  possibleCrashes: number,
  spentStarts = 0,
): number {
  const excess = possibleCrashes + spentStarts - TOTAL_CRASH_LIMIT;
  return excess < 0
    ? 0
    : Math.min(MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS * 2 ** excess);
}

/**
 * Returns the count after a counted crash turned out to have struck other endpoints
 * too. With several endpoints, one crash is excused for each task, as tasks that
 * crash their endpoints may do so together. With many, every crash is excused.
 */
export function excuseCrash(
  count: CrashCount,
  { scale, presence }: Pick<CrashEvidence, "scale" | "presence">,
): CrashCount {
  if (scale === CrashScale.Few) return count;
  if (scale === CrashScale.Several && count.excused > 0) return count;
  const excused = count.excused + 1;
  if (presence === Presence.Unknown) {
    const unseen = Math.max(0, count.unseen - 1);
    const excusedUnseen = (count.excusedUnseen ?? 0) + 1;
    return { ...count, unseen, excused, excusedUnseen };
  }
  return { ...count, laid: Math.max(0, count.laid - 1), excused };
}

/** What the runs of a unit have used of its limits, or may turn out to have used. */
export interface BudgetUse {
  readonly failures: number;
  /** Failed runs after which the unit is given up. */
  readonly attempts: number;
  readonly crashes: CrashCount;
  /** Runs of unknown outcome; each may turn out to be a failure or a crash. */
  readonly open: number;
}

/**
 * Whether a run of unknown outcome may be given up and followed by another. The runs
 * of unknown outcome, this one included, must not exceed the failures and crashes
 * that are left.
 */
export function canLeaveRunUnresolved(use: BudgetUse): boolean {
  return isWithinAttempts(use) &&
    countPossibleCrashes(use.crashes, use.open) < CRASH_LIMIT_ALONE;
}

/**
 * Whether a unit may start before the outcome of its earlier runs is known: a failure
 * that is reported after the start still counts as preceding it.
 */
export function mayStartBeforeOutcome(use: BudgetUse): boolean {
  return use.open === 0 ||
    (isWithinAttempts(use) &&
      countPossibleCrashes(use.crashes, use.open) < TOTAL_CRASH_LIMIT);
}

/** Whether the unit has attempts left even if all runs of unknown outcome failed. */
function isWithinAttempts({ failures, attempts, open }: BudgetUse): boolean {
  return failures + open < attempts;
}
