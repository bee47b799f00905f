/**
 * Histories of runs, and the give-up that they explain, as they are kept in the row
 * of a workflow: short, because a row holds all tasks that are under way.
 */
import type * as giveUps from "./give_up.ts";
import * as histories from "./run_history.ts";
import type * as tasks from "./task.ts";
import type * as workflows from "./workflow.ts";

/** One run of a history. */
export type ListedRun = readonly [
  run: number,
  endpoint: string,
  how: tasks.RunEnd,
  evidence: histories.RunEvidence,
  counted: histories.RunCount,
];

/** A history. */
export interface ListedHistory {
  readonly runs: readonly ListedRun[];
  /** Left out: none is missing. */
  readonly isPartial?: true;
}

/** Histories of tasks that are under way. */
export interface ListedHistories {
  /** By key of the task; left out: there are none. */
  readonly histories?: Readonly<Record<string, ListedHistory>>;
  /** Some are not listed, for want of room. */
  readonly hasLeftOutHistories?: true;
}

/** The task for which a workflow was given up. */
export interface ListedGiveUp extends Omit<giveUps.GiveUp, "history"> {
  /** Left out: an earlier version recorded it. */
  readonly history?: ListedHistory;
}

/** The give-up of a workflow. */
export interface KeptGiveUp {
  /** Left out: it was not given up. */
  readonly giveUp?: ListedGiveUp;
}

/**
 * Characters of all histories of one record: some 70 runs. Most records list few
 * tasks, and each of their writes carries this as well.
 */
const MOST_LENGTH = 4000;

/** A history for a record. */
export function listHistory(
  { entries, isPartial }: histories.RunHistory,
): ListedHistory {
  const runs = entries.map((
    { run, endpoint, how, evidence, counted },
  ): ListedRun => [run, endpoint, how, evidence, counted]);
  return isPartial ? { runs, isPartial } : { runs };
}

/** A history from a record. */
export function readHistory(
  { runs, isPartial }: ListedHistory,
): histories.RunHistory {
  const entries = runs.map((
    [run, endpoint, how, evidence, counted],
  ): histories.RunEntry => ({ run, endpoint, how, evidence, counted }));
  return { entries, isPartial: isPartial === true };
}

/** A give-up for a record; null: there is none. */
export function listGiveUp(giveUp: giveUps.GiveUp | null): KeptGiveUp {
  if (giveUp === null) return {};
  const { history, ...known } = giveUp;
  if (history === null) return { giveUp: known };
  return { giveUp: { ...known, history: listHistory(history) } };
}

/** The give-up of a record; null where there is none. */
export function readGiveUp({ giveUp }: KeptGiveUp): giveUps.GiveUp | null {
  if (giveUp === undefined) return null;
  const { history, ...known } = giveUp;
  return {
    ...known,
    history: history === undefined ? null : readHistory(history),
  };
}

/**
 * Histories of tasks, those of the first ones where not all have room.
 * @param roomLength characters that are left in the row
 */
export function listHistories(
  ordered: readonly tasks.Task[],
  roomLength: number,
): ListedHistories {
  const listed: Record<string, ListedHistory> = {};
  let left = Math.min(MOST_LENGTH, roomLength);
  let hasLeftOut = false;
  for (const { key, history } of ordered) {
    const isLost = history.entries.length === 0;
    hasLeftOut ||= isLost && history.isPartial;
    if (isLost) continue;
    const kept = listHistory(history);
    left -= JSON.stringify([key, kept]).length;
    if (left < 0) break;
    listed[key] = kept;
  }
  hasLeftOut ||= left < 0;
  return {
    ...(Object.keys(listed).length === 0 ? {} : { histories: listed }),
    ...(hasLeftOut ? { hasLeftOutHistories: true } : {}),
  };
}

/** Puts histories of a record into the tasks of its workflow. */
export function applyHistories(
  workflow: workflows.Workflow,
  { histories: listed = {}, hasLeftOutHistories }: ListedHistories,
): void {
  if (hasLeftOutHistories === true) {
    for (const task of workflow.tasks) task.history = histories.LOST_HISTORY;
  }
  for (const [key, kept] of Object.entries(listed)) {
    const task = workflow.task(key);
    if (task !== undefined) task.history = readHistory(kept);
  }
}
