/** Decodes stored records of progress, which any program may have written. */
import type * as progress from "./progress_record.ts";
import * as budgets from "./restart_budget.ts";
import * as checks from "./stored_value_checks.ts";
import * as states from "./workflow_state.ts";

const { isCount, isFiniteNumber, isFlag, isText, nullOr, optional } = checks;

const isPresence = isOneOf([
  budgets.Presence.Unknown,
  budgets.Presence.Likely,
  budgets.Presence.Certain,
]);
const isEndpointIndex = (value: unknown) => value === -1 || isCount(value);
const isOptionalNumber = optional(nullOr(isFiniteNumber));

const isTask = isTuple([
  isCount,
  isEndpointIndex,
  isCount,
  optional(isText),
  ...Array.from({ length: 8 }, () => isOptionalNumber),
]);

const isUnresolvedRun = isTuple([
  isText,
  isCount,
  isText,
  optional(nullOr(isPresence)),
  optional(isFlag),
  isOptionalNumber,
  optional(nullOr(isText)),
]);

// Texts that only describe: later versions may add some.
const isHistoryRun = isTuple([isCount, isText, isText, isText, isText]);

const isHistory = checks.fieldsOf({
  runs: checks.listOf(isHistoryRun),
  isPartial: optional(isFlag),
});

const isGiveUp = checks.fieldsOf({
  reason: isText,
  task: isText,
  run: isCount,
  failures: isCount,
  crashes: checks.recordOf(isFiniteNumber),
  history: optional(isHistory),
});

const RECORD_CHECKS = {
  state: isOneOf(Object.values(states.WorkflowState)),
  begun: optional(isFlag),
  cancelled: optional(isFlag),
  done: checks.recordOf(isText),
  runs: checks.recordOf(isCount),
  tasks: checks.recordOf(isTask),
  workers: checks.listOf(isText),
  births: optional(checks.listOf(nullOr(isFiniteNumber))),
  addresses: optional(checks.recordOf(isText)),
  openEnds: optional(checks.listOf(isUnresolvedRun)),
  failures: optional(checks.recordOf(checks.listOf(isText))),
  failedRuns: optional(checks.recordOf(isCount)),
  histories: optional(checks.recordOf(isHistory)),
  hasLeftOutHistories: optional(isFlag),
  giveUp: optional(isGiveUp),
};

/** Decodes a stored record of progress; null if the value is not one. */
export function decodeProgress(value: unknown): progress.ProgressRecord | null {
  if (!checks.isFields(value)) return null;
  return checks.findWrongField(value, RECORD_CHECKS) === null
    ? value as unknown as progress.ProgressRecord
    : null;
}

/** Creates a check for one of these values. */
function isOneOf(values: readonly unknown[]): checks.Check {
  return (value) => values.includes(value);
}

/** Creates a check of a list by position; later versions may add items. */
function isTuple(items: readonly checks.Check[]): checks.Check {
  return (value) =>
    Array.isArray(value) && items.every((check, i) => check(value[i]));
}
