/**
 * The durable record of a workflow's progress; the coordinator writes it. It has
 * to fit into one row of the store, however many tasks a workflow has, so only
 * tasks that are under way are listed one by one.
 */
import * as failedRuns from "./failed_runs.ts";
import * as historyRecords from "./history_record.ts";
import * as indexSets from "./index_set.ts";
import * as listedLives from "./listed_lives.ts";
import * as budgets from "./restart_budget.ts";
import * as histories from "./run_history.ts";
import * as tasks from "./task.ts";
import type * as workflows from "./workflow.ts";
import * as states from "./workflow_state.ts";

/**
 * A listed task: its run, its worker's place in `workers` or -1 for none, its
 * failures, its checkpoint where there is one, and the crashes under it where
 * there were any, with the newest run that a worker has confirmed since.
 */
export type ListedTask = readonly [
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
];

/** A run that was given up before its end was known. */
export type ListedOpenEnd = readonly [
  taskKey: string,
  run: number,
  worker: string,
  presence?: budgets.Presence,
  isGone?: boolean,
  bornMs?: number | null,
  address?: string,
];

/** What is kept of a workflow; untouched tasks are left out. */
export interface ProgressRecord
  extends
    historyRecords.ListedHistories,
    historyRecords.KeptGiveUp,
    listedLives.LivesRecord,
    failedRuns.FailedRunsRecord {
  readonly state: states.WorkflowState;
  /** Left out: no cancel was known. Stays until the end is recorded. */
  readonly cancelled?: true;
  /**
   * Indexes of done tasks as a set in one text, by `round.step`; of a workflow
   * of many rounds and steps one set of places among all tasks, by `*`.
   */
  readonly done: Readonly<Record<string, string>>;
  /** Highest run of tasks that wait and are not listed, by the same names. */
  readonly runs: Readonly<Record<string, number>>;
  /** Tasks that a worker may hold, have failed or have a checkpoint, by key. */
  readonly tasks: Readonly<Record<string, ListedTask>>;
  /** Left out: there are none. */
  readonly openEnds?: readonly ListedOpenEnd[];
}

/** Waiting tasks with a checkpoint or failures that are listed at most. */
const MOST_WAITING_LISTED = 200;
/** Runs on endpoints that are gone of which a record tells at most: 10 KB. */
const MOST_DOUBTS_LISTED = 200;
/**
 * Listed tasks up to which a record tells addresses: with those of doubts 9 KB, beside
 * 15 KB. Of wider ones a record of all that is in doubt would be too long for its row.
 */
const MOST_WITH_ADDRESSES = 150;
/** Characters of all checkpoints of one record; others begin anew. */
const MOST_CHECKPOINT_LENGTH = 12_000;
/**
 * Characters of a record into which histories still go: rows of 64 KB hold 49,152 in
 * the platform's encoding; the rest is for their keys and marks.
 */
const MOST_LENGTH_WITH_HISTORIES = 47_000;
const NO_WORKER = -1;
/** Steps of all rounds up to which each has an entry: 10 KB of 20 bytes each. */
const MOST_NAMED_STEPS = 500;
/** Name of all steps of a workflow that has more. */
const ALL_STEPS = "*";

/** Tasks under one name. */
type TaskGroup = readonly [name: string, members: readonly tasks.Task[]];

/** The tasks of each step, or all tasks where the steps are very many. */
function groupsOf(workflow: workflows.Workflow): readonly TaskGroup[] {
  const { steps } = workflow;
  return steps.length <= MOST_NAMED_STEPS ? steps : [allTasks(workflow)];
}

function allTasks(workflow: workflows.Workflow): TaskGroup {
  return [ALL_STEPS, [...workflow.tasks]];
}

/** Makes the record of a workflow. */
export function toProgress(workflow: workflows.Workflow): ProgressRecord {
  const done: Record<string, string> = {};
  const runs: Record<string, number> = {};
  const lives = new listedLives.ListedLives();
  const listed = new Map<string, ListedTask>();
  const waiting: tasks.Task[] = [];
  const noted: tasks.Task[] = [];
  const budget = { checkpoints: MOST_CHECKPOINT_LENGTH };
  const hasEnded = states.isFinal(workflow.state);
  const groups = groupsOf(workflow);
  const nameOf = new Map<tasks.Task, string>();
  for (const [name, members] of groups) {
    const places: number[] = [];
    for (const [place, task] of members.entries()) {
      const isDone = task.state === tasks.TaskState.Done;
      if (isDone) places.push(place);
      else if (task.history !== histories.NO_HISTORY) noted.push(task);
      if (task.isPlaced) listed.set(task.key, listTask(task, lives, budget));
      else if (!isDone && task.run > 0) {
        waiting.push(task);
        nameOf.set(task, name);
      }
    }
    if (places.length > 0) done[name] = indexSets.encodeIndexes(places);
  }
  // What still runs after the end has to be stopped by whoever takes over.
  for (const task of hasEnded ? [] : selectWaiting(waiting)) {
    listed.set(task.key, listTask(task, lives, budget));
  }
  for (const task of hasEnded ? [] : waiting) {
    if (listed.has(task.key)) continue;
    const name = nameOf.get(task) ?? ALL_STEPS;
    runs[name] = Math.max(runs[name] ?? 0, task.run);
  }
  const hasRoom = listed.size <= MOST_WITH_ADDRESSES;
  const record: ProgressRecord = {
    state: workflow.state,
    ...(workflow.cancelled && !hasEnded ? { cancelled: true } : {}),
    ...lives.list(hasRoom),
    done: hasEnded ? {} : done,
    runs,
    tasks: Object.fromEntries(listed),
    ...listOpenEnds(hasEnded ? [] : workflow.openEnds.all, hasRoom),
    ...failedRuns.listFailedRuns(workflow),
    ...historyRecords.listGiveUp(workflow.giveUp),
  };
  if (noted.length === 0 || hasEnded) return record;
  const roomLength = MOST_LENGTH_WITH_HISTORIES - JSON.stringify(record).length;
  const kept = historyRecords.listHistories(worstFirst(noted), roomLength);
  return { ...record, ...kept };
}

function listOpenEnds(
  ends: readonly tasks.OpenEnd[],
  hasRoom: boolean,
): Pick<ProgressRecord, "openEnds"> {
  if (ends.length === 0) return {};
  return {
    openEnds: selectOpenEnds(ends).map((
      { task, run, worker, presence, isGone, bornMs, address },
    ): ListedOpenEnd => {
      const known = [task.key, run, worker, presence] as const;
      if (hasRoom && typeof address === "string") {
        return [...known, isGone === true, bornMs, address];
      }
      if (bornMs !== null) return [...known, isGone === true, bornMs];
      return isGone === true ? [...known, isGone] : known;
    }),
  };
}

/** Doubts may be lost, the newest last; ends that may still count are kept. */
function selectOpenEnds(
  ends: readonly tasks.OpenEnd[],
): readonly tasks.OpenEnd[] {
  const doubts = new Set(
    ends.filter(({ isGone }) => isGone === true).slice(-MOST_DOUBTS_LISTED),
  );
  return ends.filter((end) => end.isGone !== true || doubts.has(end));
}

function worstFirst(some: readonly tasks.Task[]): tasks.Task[] {
  return some.toSorted((a, b) => badEnds(b) - badEnds(a));
}

/** Failures and crashes count towards the end of a workflow: they come first. */
function selectWaiting(waiting: readonly tasks.Task[]): tasks.Task[] {
  const kept = waiting.filter((task) =>
    badEnds(task) > 0 || task.checkpoint !== ""
  );
  return worstFirst(kept).slice(0, MOST_WAITING_LISTED);
}

function listTask(
  task: tasks.Task,
  lives: listedLives.ListedLives,
  budget: { checkpoints: number },
): ListedTask {
  const { run, worker, bornMs, failures, checkpoint } = task;
  const address = task.isSuspect ? task.address : null;
  const place = worker === null
    ? NO_WORKER
    : lives.placeOf(worker, bornMs, address);
  budget.checkpoints -= checkpoint.length;
  const kept = budget.checkpoints < 0 ? "" : checkpoint;
  const { laid, excused, presence, unseen } = task.crashes;
  if (task.isSuspect || excused > 0) {
    const { confirmedRun, confirmedEndsAtWallMs, spentStarts } = task;
    const known = [run, place, failures, kept, laid, excused] as const;
    const counted = [...known, presence, confirmedRun] as const;
    if (spentStarts > 0) {
      return [...counted, unseen, confirmedEndsAtWallMs, spentStarts];
    }
    if (confirmedEndsAtWallMs !== null) {
      return [...counted, unseen, confirmedEndsAtWallMs];
    }
    return unseen === 0 ? counted : [...counted, unseen];
  }
  return kept === "" ? [run, place, failures] : [run, place, failures, kept];
}

/** Ends of a task that count towards giving it up. */
function badEnds({ failures, crashes }: tasks.Task): number {
  return failures + crashes.laid + crashes.excused + crashes.unseen;
}

/** Puts a record into a workflow that was made from its spec. */
export function applyProgress(
  workflow: workflows.Workflow,
  record: ProgressRecord,
): void {
  workflow.state = record.state;
  // A cancel that is known from elsewhere stays.
  workflow.cancelled ||= record.cancelled === true;
  // Earlier versions name each step, however many there are.
  const groups = [...workflow.steps, allTasks(workflow)];
  for (const [name, members] of groups) {
    const run = record.runs[name] ?? 0;
    for (const task of members) task.run = Math.max(task.run, run);
    for (const place of indexSets.decodeIndexes(record.done[name] ?? "")) {
      if (place < members.length) members[place].state = tasks.TaskState.Done;
    }
  }
  for (const [key, kept] of Object.entries(record.tasks)) {
    const task = workflow.task(key);
    if (task !== undefined) applyListed(task, kept, record);
  }
  for (const listed of record.openEnds ?? []) {
    const [key, run, worker, kept, isGone = false, ...life] = listed;
    const [bornMs = null, address = null] = life;
    const task = workflow.task(key);
    if (task === undefined) continue;
    const presence = kept ?? budgets.Presence.Likely;
    const place = { worker, bornMs, address };
    workflow.openEnds.add({ task, run, ...place, presence, isGone });
  }
  failedRuns.applyFailedRuns(workflow, record);
  historyRecords.applyHistories(workflow, record);
  workflow.giveUp = historyRecords.readGiveUp(record);
}

function applyListed(
  task: tasks.Task,
  [run, place, failures, checkpoint, ...crashes]: ListedTask,
  { workers, births = [], addresses = {} }: ProgressRecord,
): void {
  task.run = run;
  task.worker = workers[place] ?? null;
  task.bornMs = births[place] ?? null;
  task.address = addresses[place] ?? null;
  task.failures = failures;
  task.checkpoint = checkpoint ?? "";
  const [laid = 0, excused = 0, presence = 0, ...seen] = crashes;
  const [confirmedRun = 0, unseen = 0, ...since] = seen;
  const [confirmedEndsAtWallMs = null, spentStarts = 0] = since;
  task.crashes = { laid, excused, presence, unseen };
  task.confirmedRun = confirmedRun;
  task.confirmedEndsAtWallMs = confirmedEndsAtWallMs;
  task.spentStarts = spentStarts ?? 0;
  const isPlaced = task.worker !== null;
  if (isPlaced && task.state !== tasks.TaskState.Done) {
    task.state = tasks.TaskState.Starting;
  }
}
