/**
 * Determines which work could run, from what the endpoints have run and what runs on
 * them now.
 */
import type * as StandIns from "@cairngate/stand-ins";
import type * as Workflow from "@cairngate/workflow";
import * as checks from "./run_checks.ts";

/** A workflow of one round, as submitted, and its runs so far. */
export interface SubmittedWork {
  readonly id: string;
  readonly steps: readonly Workflow.StepSpec[];
  readonly runs: readonly StandIns.TaskRunRecord[];
}

/** Decides which runs count as completed. */
type IsCompleted = (run: StandIns.TaskRunRecord) => boolean;

/** Tasks that have to start together, and the accelerators of each. */
interface RunnableUnit {
  readonly count: number;
  readonly accelerators: number;
}

/**
 * Whether a workflow that has no run could go on: a task or a whole gang whose turn
 * has come fits into the free accelerators, or nothing is left to run. An end as done
 * that was not acknowledged may be known or not, so both cases have to fit.
 *
 * @param free free accelerators of each running endpoint
 */
export function couldRun(
  work: SubmittedWork,
  free: readonly number[],
): boolean {
  const cases: readonly IsCompleted[] = [
    checks.isRecordedDone,
    ({ how }) => how === "done",
  ];
  return cases.every((isCompleted) => {
    const units = listReadyUnits(work, isCompleted);
    return units.length === 0 || units.some((unit) => fits(unit, free));
  });
}

function fits({ count, accelerators }: RunnableUnit, free: readonly number[]) {
  if (accelerators === 0) return free.length > 0;
  const places = free.map((each) => Math.floor(each / accelerators));
  return places.reduce((sum, each) => sum + Math.max(0, each), 0) >= count;
}

function listReadyUnits(
  { id, steps, runs }: SubmittedWork,
  isCompleted: IsCompleted,
): readonly RunnableUnit[] {
  const done = new Set(runs.filter(isCompleted).map(({ task }) => task));
  const openCounts = steps.map((step, index) =>
    countOpen(step, (member) => done.has(`${id}.0.${index}.${member}`))
  );
  return steps.flatMap((step, index) => {
    const isReady = openCounts[index] > 0 &&
      step.after.every((before) => openCounts[before] === 0);
    const { accelerators } = step;
    return isReady ? [{ count: step.gang ? step.count : 1, accelerators }] : [];
  });
}

/** Number of tasks that are left to run. One end as done stands for a whole gang. */
function countOpen(
  { count, gang }: Workflow.StepSpec,
  isDone: (member: number) => boolean,
): number {
  const doneCount = Array.from({ length: count }, (_, i) => i)
    .filter(isDone).length;
  if (gang) return doneCount > 0 ? 0 : count;
  return count - doneCount;
}
