/** Checks of the guarantees on runs, which hold under any faults. */
import type * as StandIns from "@cairngate/stand-ins";
import * as Workflow from "@cairngate/workflow";
import type * as fleets from "./test_fleet.ts";

/** Describes the runs that violate a guarantee. */
export function findRunViolations(fleet: fleets.TestFleet): string[] {
  fleet.workers.update();
  const byTask = new Map<string, StandIns.TaskRunRecord[]>();
  for (const record of fleet.workers.runs) {
    byTask.set(record.task, [...byTask.get(record.task) ?? [], record]);
  }
  return [...byTask.values()].flatMap((runs) =>
    checkRuns(runs, fleet.attempts)
  );
}

/** Crashes under a task after which users limit its further starts. */
const MAX_CRASHES = 3;
/** Starts that users allow after that crash. */
const MAX_STARTS_AFTER_CRASHES = 2;
/** Id prefix of the workflows whose tasks crash their endpoints. */
export const CRASHING_ID_PREFIX = "c";

function checkRuns(
  runs: readonly StandIns.TaskRunRecord[],
  attempts: number,
): string[] {
  const found = [...checkAttempts(runs, attempts), ...checkCrashes(runs)];
  for (const first of runs) {
    for (const second of runs) {
      if (first === second || second.startedAtMs < first.startedAtMs) continue;
      const endedAtMs = first.endedAtMs ?? Number.POSITIVE_INFINITY;
      const pair = `${first.task} runs ${first.run} and ${second.run}`;
      if (second.startedAtMs < endedAtMs) found.push(`${pair} overlapped`);
      if (isRecordedDone(first)) found.push(`${pair}: the first had completed`);
    }
  }
  return found;
}

/** Finds starts after the last allowed failure was acknowledged. */
function checkAttempts(
  runs: readonly StandIns.TaskRunRecord[],
  attempts: number,
): string[] {
  const failed = runs.filter((record) =>
    record.how === "failed" && isAcknowledged(record)
  )
    .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
  const last = failed[attempts - 1];
  if (last === undefined) return [];
  const late = runs.filter((record) =>
    record.startedAtMs > (last.endedAtMs ?? 0)
  );
  return late.map(({ task, run }) => `${task} run ${run} exceeds its attempts`);
}

/** Finds a task that keeps starting although it crashes its endpoints. */
function checkCrashes(runs: readonly StandIns.TaskRunRecord[]): string[] {
  const [{ task }] = runs;
  if (!task.startsWith(CRASHING_ID_PREFIX)) return [];
  const crashes = runs.filter(({ how }) => how === "crashed")
    .map(({ endedAtMs }) => endedAtMs ?? 0).sort((a, b) => a - b);
  if (crashes.length < MAX_CRASHES) return [];
  const late = runs.filter(({ startedAtMs }) =>
    startedAtMs > crashes[MAX_CRASHES - 1]
  );
  return late.length > MAX_STARTS_AFTER_CRASHES
    ? [`${task}: ${late.length} starts after the third crash`]
    : [];
}

/** Crashes of its endpoints after which operators allow giving up a task. */
const MIN_CRASHES_TO_GIVE_UP = 2;

/** Checks that a failed workflow has a task that failed or crashed too often. */
export function checkFailedWorkflow(
  fleet: fleets.TestFleet,
  id: string,
): string[] {
  if (fleet.state(id) !== Workflow.WorkflowState.Failed) return [];
  const runs = fleet.workers.runs.filter(({ task }) =>
    task.startsWith(`${id}.`)
  );
  const countCrashes = (task: string) =>
    runs.filter((record) => record.task === task && record.how === "crashed")
      .length;
  const hasCause = runs.some(({ task }) =>
    countFailedRuns(fleet, task) >= fleet.attempts ||
    countCrashes(task) >= MIN_CRASHES_TO_GIVE_UP
  );
  return hasCause ? [] : [`${id} failed without too many failures or crashes`];
}

/**
 * Counts distinct failed runs of a task, or of its gang if it has one. Different
 * members may fail in different runs, so counting per member would miss failures.
 */
function countFailedRuns({ workers }: fleets.TestFleet, task: string): number {
  const members = workers.gangOf(task);
  const failed = workers.runs.filter((record) =>
    members.includes(record.task) && record.how === "failed"
  );
  return new Set(failed.map(({ run }) => run)).size;
}

/**
 * Checks the same for a workflow of one gang: a run counts as one failure, whichever of
 * its members failed.
 */
export function checkFailedGang(fleet: fleets.TestFleet, id: string): string[] {
  const failed = fleet.workers.runs.filter(({ task, how }) =>
    task.startsWith(`${id}.`) && how === "failed"
  );
  const failedRuns = new Set(failed.map(({ run }) => run));
  return failedRuns.size >= fleet.attempts
    ? []
    : checkFailedWorkflow(fleet, id);
}

function isAcknowledged(record: StandIns.TaskRunRecord): boolean {
  return record.acknowledgedAtMs !== null && !record.wasLeaseExpired;
}

/**
 * An acknowledged end is final, unless the lease expired before it was acknowledged.
 */
export function isRecordedDone(record: StandIns.TaskRunRecord): boolean {
  return record.how === "done" && isAcknowledged(record);
}
