/**
 * Run histories, and the give-up that they explain, in the stored row of a
 * workflow. The format is compact because one row holds all tasks in progress.
 */
import type * as giveUps from "./give_up.ts";
import * as histories from "./run_history.ts";
import type * as tasks from "./task.ts";
import type * as workflows from "./workflow.ts";

/** One run of a stored history. */
export type HistoryRunRecord = readonly [
  run: number,
  endpoint: string,
  how: tasks.RunEnd,
  evidence: histories.RunEvidence,
  counted: histories.CountedAs,
];

/** A stored history. */
export interface HistoryRecord {
  readonly runs: readonly HistoryRunRecord[];
  /** Omitted if no run is missing. */
  readonly isPartial?: true;
}

/** Histories of the tasks in progress. */
export interface HistoriesRecord {
  /** By task key; omitted if there are none. */
  readonly histories?: Readonly<Record<string, HistoryRecord>>;
  /** Set if some histories are omitted for lack of space. */
  readonly hasLeftOutHistories?: true;
}

/** The task that caused a workflow to be given up, as stored. */
export interface StoredGiveUp extends Omit<giveUps.GiveUp, "history"> {
  /** Omitted by earlier versions. */
  readonly history?: HistoryRecord;
}

/** The give-up of a workflow, as stored. */
export interface GiveUpRecord {
  /** Omitted if the workflow was not given up. */
  readonly giveUp?: StoredGiveUp;
}

/**
 * Characters of all histories of one record, about 70 runs. Most records hold few
 * tasks, and every write of a record carries its histories too.
 */
const MAX_HISTORIES_CHARS = 4000;

/** Encodes a history for a record. */
export function encodeHistory(
  { entries, isPartial }: histories.RunHistory,
): HistoryRecord {
  const runs = entries.map((
    { run, endpoint, how, evidence, counted },
  ): HistoryRunRecord => [run, endpoint, how, evidence, counted]);
  return isPartial ? { runs, isPartial } : { runs };
}

/** Decodes a history of a record. */
export function decodeHistory(
  { runs, isPartial }: HistoryRecord,
): histories.RunHistory {
  const entries = runs.map((
    [run, endpoint, how, evidence, counted],
  ): histories.RunEntry => ({ run, endpoint, how, evidence, counted }));
  return { entries, isPartial: isPartial === true };
}

/** Encodes a give-up for a record; null if there is none. */
export function encodeGiveUp(giveUp: giveUps.GiveUp | null): GiveUpRecord {
  if (giveUp === null) return {};
  const { history, ...rest } = giveUp;
  if (history === null) return { giveUp: rest };
  return { giveUp: { ...rest, history: encodeHistory(history) } };
}

/** Decodes the give-up of a record; null if there is none. */
export function decodeGiveUp({ giveUp }: GiveUpRecord): giveUps.GiveUp | null {
  if (giveUp === undefined) return null;
  const { history, ...rest } = giveUp;
  return {
    ...rest,
    history: history === undefined ? null : decodeHistory(history),
  };
}

/**
 * Encodes the histories of tasks, in order, until the space is used up.
 * @param space characters left in the row, and whether the histories of tasks that are
 * not given are missing
 */
export function encodeHistories(
  orderedTasks: readonly tasks.Task[],
  space: { readonly availableChars: number; readonly isMissing: boolean },
): HistoriesRecord {
  const encoded: Record<string, HistoryRecord> = {};
  let remainingChars = Math.min(MAX_HISTORIES_CHARS, space.availableChars);
  let hasOmitted = space.isMissing;
  for (const { key, history } of orderedTasks) {
    const isEmpty = history.entries.length === 0;
    hasOmitted ||= isEmpty && history.isPartial;
    if (isEmpty) continue;
    const record = encodeHistory(history);
    remainingChars -= JSON.stringify([key, record]).length;
    if (remainingChars < 0) break;
    encoded[key] = record;
  }
  hasOmitted ||= remainingChars < 0;
  return {
    ...(Object.keys(encoded).length === 0 ? {} : { histories: encoded }),
    ...(hasOmitted ? { hasLeftOutHistories: true } : {}),
  };
}

/** Restores the histories of a record into the tasks of its workflow. */
export function applyHistories(
  workflow: workflows.Workflow,
  { histories: records = {}, hasLeftOutHistories }: HistoriesRecord,
): void {
  if (hasLeftOutHistories === true) {
    workflow.table.restoreHistory(histories.MISSING_HISTORY);
  }
  for (const [key, record] of Object.entries(records)) {
    const task = workflow.task(key);
    if (task !== undefined) task.history = decodeHistory(record);
  }
}
