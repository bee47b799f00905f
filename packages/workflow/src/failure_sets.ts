/**
 * Stores the failures of waiting tasks that a record has no room to list one by one.
 * Without them, these tasks would get all of their attempts again after a takeover.
 */
import * as indexSets from "./index_set.ts";
import type * as tasks from "./task.ts";
import type * as tables from "./task_table.ts";

/** Tasks that a record stores under one key, by their positions in the workflow. */
export interface TaskGroup extends tables.TaskRange {
  readonly name: string;
}

/** Failures of tasks, as stored. */
export interface FailureSetsRecord {
  /**
   * By key of the group: the indexes of the tasks with at least one failure, with at
   * least two, and so on, each as one encoded set. Omitted if there are none, or by
   * earlier versions.
   */
  readonly failures?: Readonly<Record<string, readonly string[]>>;
}

/** Characters of a set beside its text: quotes and a comma. */
const PUNCTUATION_CHARS = 3;

/**
 * Encodes the failures of some tasks until the space is used up.
 * @param failures numbers of failures by position of the task
 * @param availableChars characters left in the row
 */
export function encodeFailureSets(
  groups: readonly TaskGroup[],
  failures: ReadonlyMap<number, number>,
  availableChars: number,
): FailureSetsRecord {
  let remainingChars = availableChars;
  const takeSpace = (text: string) => {
    remainingChars -= text.length + PUNCTUATION_CHARS;
    return remainingChars >= 0;
  };
  const entries = groups.flatMap(({ name, start, end }) => {
    const counts = Array.from(
      { length: end - start },
      (_, index) => failures.get(start + index) ?? 0,
    );
    const sets = encodeCounts(counts, takeSpace);
    return sets.length === 0 || !takeSpace(name) ? [] : [[name, sets] as const];
  });
  return entries.length === 0 ? {} : { failures: Object.fromEntries(entries) };
}

/** Restores the failures of a record. */
export function applyFailureSets(
  groups: readonly TaskGroup[],
  { failures = {} }: FailureSetsRecord,
  taskAt: (position: number) => tasks.Task,
): void {
  for (const { name, start, end } of groups) {
    for (const [level, set] of (failures[name] ?? []).entries()) {
      for (const index of indexSets.decodeIndexes(set)) {
        if (start + index < end) taskAt(start + index).failures = level + 1;
      }
    }
  }
}

/** One set for each number of failures; those that find no space are left out. */
function encodeCounts(
  counts: readonly number[],
  takeSpace: (text: string) => boolean,
): string[] {
  const sets: string[] = [];
  for (let level = 1;; level++) {
    const indexes = [...counts.keys()].filter((i) => counts[i] >= level);
    const set = indexSets.encodeIndexes(indexes);
    if (indexes.length === 0 || !takeSpace(set)) return sets;
    sets.push(set);
  }
}
