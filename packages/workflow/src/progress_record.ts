/**
 * The stored record of a workflow's progress, written by the coordinator. A record
 * has to fit into one row of the store however many tasks the workflow has, so only
 * tasks in progress are stored one by one.
 */
import * as failedRuns from "./failed_runs.ts";
import * as failureSets from "./failure_sets.ts";
import * as historyRecords from "./history_record.ts";
import * as indexSets from "./index_set.ts";
import * as incarnations from "./incarnation_table.ts";
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import * as tasks from "./task.ts";
import type * as workflows from "./workflow.ts";
import * as states from "./workflow_state.ts";

/**
 * A stored task: its run, the index of its endpoint in `workers` (-1 for none), its
 * failures, its checkpoint if any, and, for crash suspects, its crash counts and
 * the newest run that an endpoint has confirmed.
 */
export type TaskRecord = readonly [
  run: number,
  worker: number,
  failures: number,
  checkpoint?: string,
  crashesLaid?: number,
  crashesExcused?: number,
  crashesPresence?: number,
  confirmedRun?: number,
  crashesUnseen?: number,
  confirmedEndsAtWallMs?: number | null,
  spentStarts?: number,
  crashesExcusedUnseen?: number,
];

/** A run that was given up before its outcome was known. */
export type UnresolvedRunRecord = readonly [
  taskKey: string,
  run: number,
  worker: string,
  presence?: budgets.Presence,
  isGone?: boolean,
  bornMs?: number | null,
  address?: string,
];

/** The stored progress of a workflow; tasks that never ran are left out. */
export interface ProgressRecord
  extends
    historyRecords.HistoriesRecord,
    historyRecords.GiveUpRecord,
    incarnations.IncarnationsRecord,
    failureSets.FailureSetsRecord,
    failedRuns.FailedRunsRecord {
  readonly state: states.WorkflowState;
  /**
   * Present while a start is recorded and no task is known to have begun; earlier
   * versions omit it.
   */
  readonly begun?: false;
  /** Omitted if no cancel was known. Stays until the end is recorded. */
  readonly cancelled?: true;
  /**
   * Indexes of done tasks as one encoded set, by `round.step`. A workflow with many
   * rounds and steps has a single set of indexes into all tasks, under `*`.
   */
  readonly done: Readonly<Record<string, string>>;
  /**
   * Highest run of waiting tasks that are not stored one by one, by the same keys.
   */
  readonly runs: Readonly<Record<string, number>>;
  /** Tasks that may be on an endpoint, have failed or have a checkpoint, by key. */
  readonly tasks: Readonly<Record<string, TaskRecord>>;
  /** Omitted if there are none. */
  readonly openEnds?: readonly UnresolvedRunRecord[];
}

/** Maximum number of stored waiting tasks with a checkpoint or failures. */
const MAX_WAITING_TASKS = 200;
/** Maximum number of stored runs on gone endpoints: 10 KB. */
const MAX_GONE_RUNS = 200;
/**
 * Number of stored tasks up to which a record includes addresses: with those of
 * gone runs 9 KB, on top of 15 KB. With more tasks, a record whose tasks are all
 * crash suspects would not fit into its row.
 */
const MAX_TASKS_WITH_ADDRESSES = 150;
/**
 * Characters of all checkpoints of one record; tasks beyond it restart from the
 * beginning.
 */
const MAX_CHECKPOINTS_CHARS = 12_000;
/**
 * Characters of a record up to which failures of unlisted tasks and histories are added.
 * Rows of 64 KB hold 49,152 characters in the platform's encoding; the difference is left
 * for keys and punctuation.
 */
const MAX_CHARS_WITH_OPTIONAL_PARTS = 47_000;
const NO_ENDPOINT_INDEX = -1;
/**
 * Number of steps over all rounds up to which each has its own entry: 10 KB at 20
 * bytes each.
 */
const MAX_KEYED_STEPS = 500;
/** Key of the single entry of a workflow with more steps. */
const ALL_TASKS_KEY = "*";

/** Tasks under one key. */
type TaskGroup = failureSets.TaskGroup;

/** Whether each step of each round has its own entry. */
function isKeyedBySteps({ table }: workflows.Workflow): boolean {
  return table.groupCount <= MAX_KEYED_STEPS;
}

/**
 * The tasks of each step, or all tasks in one group if there are too many steps.
 */
function taskGroups(workflow: workflows.Workflow): readonly TaskGroup[] {
  return isKeyedBySteps(workflow)
    ? listSteps(workflow)
    : [allTasksGroup(workflow)];
}

/** The tasks of each step of each round, in order. */
function listSteps({ spec, table }: workflows.Workflow): TaskGroup[] {
  const stepCount = Math.max(1, spec.steps.length);
  return Array.from({ length: table.groupCount }, (_, i) => {
    const round = Math.floor(i / stepCount);
    const stepIndex = i % stepCount;
    const name = `${round}.${stepIndex}`;
    return { name, ...table.groupRange(round, stepIndex) };
  });
}

function allTasksGroup({ table }: workflows.Workflow): TaskGroup {
  return { name: ALL_TASKS_KEY, start: 0, end: table.size };
}

/** Tasks in progress that a record describes. */
interface OpenTasks {
  readonly placed: readonly tasks.Task[];
  /** Tasks that wait after a run. */
  readonly waiting: readonly tasks.Task[];
  /** Tasks that are not done and whose history is not empty. */
  readonly withHistory: readonly tasks.Task[];
}

function findOpenTasks(workflow: workflows.Workflow): OpenTasks {
  const { table } = workflow;
  const ordered = [...workflow.materializedTasks].sort((a, b) =>
    table.positionOf(a) - table.positionOf(b)
  );
  const isDone = ({ state }: tasks.Task) => state === tasks.TaskState.Done;
  return {
    placed: ordered.filter((task) => task.isPlaced),
    waiting: ordered.filter((task) =>
      !task.isPlaced && !isDone(task) && task.run > 0
    ),
    withHistory: ordered.filter((task) =>
      !isDone(task) && task.history !== histories.NO_HISTORY
    ),
  };
}

/** Encodes the done tasks of each group that has any. */
function encodeDone(
  { table }: workflows.Workflow,
  groups: readonly TaskGroup[],
): Record<string, string> {
  const done: Record<string, string> = {};
  const positions = table.donePositions();
  let next = 0;
  for (const { name, start, end } of groups) {
    const indexes: number[] = [];
    while (next < positions.length && positions[next] < end) {
      indexes.push(positions[next] - start);
      next++;
    }
    if (indexes.length > 0) done[name] = indexSets.encodeIndexes(indexes);
  }
  return done;
}

/** Highest run of waiting tasks that are not stored one by one, by their group. */
function encodeRuns(
  workflow: workflows.Workflow,
  unlisted: readonly tasks.Task[],
): Record<string, number> {
  const { table } = workflow;
  const runs: Record<string, number> = {};
  const isKeyed = isKeyedBySteps(workflow);
  const add = (stepKey: string, run: number) => {
    const name = isKeyed ? stepKey : ALL_TASKS_KEY;
    runs[name] = Math.max(runs[name] ?? 0, run);
  };
  for (const { stepKey, run } of unlisted) add(stepKey, run);
  for (const [stepKey, run] of table.restoredRuns()) add(stepKey, run);
  if (table.restoredRunOfAll > 0) {
    runs[ALL_TASKS_KEY] = Math.max(
      runs[ALL_TASKS_KEY] ?? 0,
      table.restoredRunOfAll,
    );
  }
  return runs;
}

/** Creates the record of a workflow. */
export function toProgressRecord(workflow: workflows.Workflow): ProgressRecord {
  const table = new incarnations.IncarnationTable();
  const records = new Map<string, TaskRecord>();
  const budget = { checkpoints: MAX_CHECKPOINTS_CHARS };
  const hasEnded = states.isFinal(workflow.state);
  const groups = taskGroups(workflow);
  const { placed, waiting, withHistory } = findOpenTasks(workflow);
  // Runs that continue after the end have to be stopped by the next coordinator.
  for (const task of placed) {
    records.set(task.key, encodeTask(task, table, budget));
  }
  for (const task of hasEnded ? [] : selectWaitingTasks(waiting)) {
    records.set(task.key, encodeTask(task, table, budget));
  }
  const unlisted = waiting.filter(({ key }) => !records.has(key));
  const includesAddresses = records.size <= MAX_TASKS_WITH_ADDRESSES;
  const record: ProgressRecord = {
    state: workflow.state,
    ...(isStartPending(workflow) ? { begun: false } : {}),
    ...(workflow.cancelled && !hasEnded ? { cancelled: true } : {}),
    ...table.toRecord(includesAddresses),
    done: hasEnded ? {} : encodeDone(workflow, groups),
    runs: hasEnded ? {} : encodeRuns(workflow, unlisted),
    tasks: Object.fromEntries(records),
    ...encodeUnresolvedRuns(
      hasEnded ? [] : workflow.unresolvedRuns.all,
      includesAddresses,
    ),
    ...failedRuns.listFailedRuns(workflow),
    ...historyRecords.encodeGiveUp(workflow.giveUp),
  };
  if (hasEnded) return record;
  const recordWithFailures = {
    ...record,
    ...encodeUnlistedFailures(record, groups, { workflow, unlisted }),
  };
  const isMissing = workflow.table.initialHistory.isPartial;
  if (withHistory.length === 0 && !isMissing) return recordWithFailures;
  const historiesRecord = historyRecords.encodeHistories(
    mostFailuresFirst(withHistory),
    { availableChars: spaceLeft(recordWithFailures), isMissing },
  );
  return { ...recordWithFailures, ...historiesRecord };
}

function isStartPending({ state, hasBegun }: workflows.Workflow): boolean {
  return state === states.WorkflowState.Running && !hasBegun;
}

/** State for callers, as a record shows it. */
export function visibleStateOf(
  { state, begun, tasks: records }: ProgressRecord,
): states.WorkflowState {
  const isPlaced = Object.values(records).some(([, endpoint]) =>
    endpoint !== NO_ENDPOINT_INDEX
  );
  return states.toVisibleState(state, begun !== false || isPlaced);
}

function encodeUnlistedFailures(
  record: ProgressRecord,
  groups: readonly TaskGroup[],
  { workflow: { table }, unlisted }: {
    readonly workflow: workflows.Workflow;
    readonly unlisted: readonly tasks.Task[];
  },
): failureSets.FailureSetsRecord {
  const failures = new Map(
    unlisted.filter((task) => task.failures > 0)
      .map((task) => [table.positionOf(task), task.failures] as const),
  );
  if (failures.size === 0) return {};
  return failureSets.encodeFailureSets(groups, failures, spaceLeft(record));
}

/** Characters that a record has left for what it can do without. */
function spaceLeft(record: ProgressRecord): number {
  return MAX_CHARS_WITH_OPTIONAL_PARTS - JSON.stringify(record).length;
}

function encodeUnresolvedRuns(
  unresolved: readonly tasks.UnresolvedRun[],
  includesAddresses: boolean,
): Pick<ProgressRecord, "openEnds"> {
  if (unresolved.length === 0) return {};
  return {
    openEnds: selectUnresolvedRuns(unresolved).map((
      { task, run, endpoint, presence, isGone, bornMs, address },
    ): UnresolvedRunRecord => {
      const base = [task.key, run, endpoint, presence] as const;
      if (includesAddresses && typeof address === "string") {
        return [...base, isGone === true, bornMs, address];
      }
      if (bornMs !== null) return [...base, isGone === true, bornMs];
      return isGone === true ? [...base, isGone] : base;
    }),
  };
}

/**
 * Runs on gone endpoints beyond the limit may be dropped, oldest first; runs whose
 * outcome may still count are all kept.
 */
function selectUnresolvedRuns(
  unresolved: readonly tasks.UnresolvedRun[],
): readonly tasks.UnresolvedRun[] {
  const newestGone = new Set(
    unresolved.filter(({ isGone }) => isGone === true).slice(-MAX_GONE_RUNS),
  );
  return unresolved.filter((end) => end.isGone !== true || newestGone.has(end));
}

function mostFailuresFirst(unordered: readonly tasks.Task[]): tasks.Task[] {
  return unordered.toSorted((a, b) =>
    countFailuresAndCrashes(b) - countFailuresAndCrashes(a)
  );
}

/**
 * Selects waiting tasks with failures and crashes first, as these count towards
 * giving up the workflow.
 */
function selectWaitingTasks(waiting: readonly tasks.Task[]): tasks.Task[] {
  const candidates = waiting.filter((task) =>
    countFailuresAndCrashes(task) > 0 || task.checkpoint !== ""
  );
  return mostFailuresFirst(candidates).slice(0, MAX_WAITING_TASKS);
}

function encodeTask(
  task: tasks.Task,
  table: incarnations.IncarnationTable,
  budget: { checkpoints: number },
): TaskRecord {
  const { run, endpoint, bornMs, address, failures, checkpoint } = task;
  const endpointIndex = endpoint === null
    ? NO_ENDPOINT_INDEX
    : table.indexOf(endpoint, bornMs, address);
  budget.checkpoints -= checkpoint.length;
  const storedCheckpoint = budget.checkpoints < 0 ? "" : checkpoint;
  const { laid, excused, presence, unseen, excusedUnseen = 0 } = task.crashes;
  if (task.isSuspect || excused > 0) {
    const { confirmedRun, confirmedEndsAtWallMs, spentStarts } = task;
    const base = [
      run,
      endpointIndex,
      failures,
      storedCheckpoint,
      laid,
      excused,
    ] as const;
    const withConfirmation = [...base, presence, confirmedRun] as const;
    if (spentStarts > 0 || excusedUnseen > 0) {
      const all = [
        ...withConfirmation,
        unseen,
        confirmedEndsAtWallMs,
        spentStarts,
      ] as const;
      return excusedUnseen === 0 ? all : [...all, excusedUnseen];
    }
    if (confirmedEndsAtWallMs !== null) {
      return [...withConfirmation, unseen, confirmedEndsAtWallMs];
    }
    return unseen === 0 ? withConfirmation : [...withConfirmation, unseen];
  }
  return storedCheckpoint === ""
    ? [run, endpointIndex, failures]
    : [run, endpointIndex, failures, storedCheckpoint];
}

/** Ends of a task that count towards giving it up. */
function countFailuresAndCrashes({ failures, crashes }: tasks.Task): number {
  return failures + crashes.laid + crashes.excused + crashes.unseen;
}

/** Restores a record into a workflow that was created from its spec. */
export function applyProgressRecord(
  workflow: workflows.Workflow,
  record: ProgressRecord,
): void {
  workflow.state = record.state;
  workflow.hasBegun = record.begun !== false &&
    record.state !== states.WorkflowState.Queued;
  // A cancel that is known from elsewhere stays.
  workflow.cancelled ||= record.cancelled === true;
  // Earlier versions wrote one entry for each step, however many there were.
  const groups = [...listSteps(workflow), allTasksGroup(workflow)];
  const { table } = workflow;
  for (const { name, start, end } of groups) {
    const stepKey = name === ALL_TASKS_KEY ? null : name;
    const run = record.runs[name] ?? 0;
    if (run > 0) table.restoreRun(stepKey, run);
    for (const index of indexSets.decodeIndexes(record.done[name] ?? "")) {
      if (start + index < end) table.markDoneAt(start + index);
    }
  }
  failureSets.applyFailureSets(
    groups,
    record,
    (position) => table.at(position),
  );
  for (const [key, taskRecord] of Object.entries(record.tasks)) {
    const task = workflow.task(key);
    if (task !== undefined) applyTaskRecord(task, taskRecord, record);
  }
  for (const unresolvedRun of record.openEnds ?? []) {
    const [key, run, endpoint, storedPresence, isGone = false, ...incarnation] =
      unresolvedRun;
    const [bornMs = null, address = null] = incarnation;
    const task = workflow.task(key);
    if (task === undefined) continue;
    const presence = storedPresence ?? budgets.Presence.Likely;
    const runLocation = { endpoint, bornMs, address };
    workflow.unresolvedRuns.add({
      task,
      run,
      ...runLocation,
      presence,
      isGone,
    });
  }
  failedRuns.applyFailedRuns(workflow, record);
  historyRecords.applyHistories(workflow, record);
  workflow.giveUp = historyRecords.decodeGiveUp(record);
}

function applyTaskRecord(
  task: tasks.Task,
  [run, endpointIndex, failures, checkpoint, ...crashFields]: TaskRecord,
  { workers, births = [], addresses = {} }: ProgressRecord,
): void {
  task.run = run;
  task.endpoint = workers[endpointIndex] ?? null;
  task.bornMs = births[endpointIndex] ?? null;
  task.address = addresses[endpointIndex] ?? null;
  task.failures = failures;
  task.checkpoint = checkpoint ?? "";
  const [laid = 0, excused = 0, presence = 0, ...confirmationFields] =
    crashFields;
  const [confirmedRun = 0, unseen = 0, ...restartFields] = confirmationFields;
  const [confirmedEndsAtWallMs = null, spentStarts = 0, excusedUnseen = 0] =
    restartFields;
  const counts = { laid, excused, presence, unseen };
  task.crashes = excusedUnseen === 0 ? counts : { ...counts, excusedUnseen };
  task.confirmedRun = confirmedRun;
  task.confirmedEndsAtWallMs = confirmedEndsAtWallMs;
  task.spentStarts = spentStarts ?? 0;
  const isPlaced = task.endpoint !== null;
  if (isPlaced && task.state !== tasks.TaskState.Done) {
    task.state = tasks.TaskState.Starting;
  }
}
