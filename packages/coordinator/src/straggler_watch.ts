/**
 * Finds runs that come on much more slowly than the other tasks of their step,
 * and the workers that hold them. Estimates are rough, so tasks are compared
 * with each other where there are others.
 */
import * as Workflow from "@cairngate/workflow";

/** How far a run has come. */
export interface RunProgress {
  readonly task: Workflow.Task;
  readonly worker: string;
  /** Time for which the run was watched. */
  readonly ranMs: number;
  /** Share that is done, 0 to 100. */
  readonly percent: number;
  /** Share that came in the time watched. */
  readonly came: number;
}

/** What to do about slow runs. */
export interface Stragglers {
  /** Runs that would end sooner if they began again elsewhere. */
  readonly restart: readonly Workflow.Task[];
  /** Workers that hold slow runs. */
  readonly workers: ReadonlySet<string>;
}

/** A run this young says nothing yet. */
const LEAST_RAN_MS = 900;
/** A run below this share of the usual pace is slow. */
const SLOW_SHARE = 0.28;
/** Without others to compare with, only this share of the estimate counts. */
const SLOW_SHARE_ALONE = 0.18;
/** Time that a restart costs beside the work. */
const RESTART_MS = 600;
/** A restart has to be this much better, because rates are rough. */
const GAIN = 1.3;
const NEARLY_DONE = 97;
/** A task that stays slow elsewhere is slow itself. */
const MOST_SLOW_RUNS = 2;
const MOST_SLOW_RUNS_ALONE = 1;

/** Compares the runs of each step. */
export function findStragglers(runs: readonly RunProgress[]): Stragglers {
  const restart: Workflow.Task[] = [];
  const workers = new Set<string>();
  for (const group of groupBySiblings(runs).values()) {
    const usual = usualRate(group);
    for (const run of group) {
      const most = group.length === 1 ? MOST_SLOW_RUNS_ALONE : MOST_SLOW_RUNS;
      if (run.task.slowRuns >= most) continue;
      if (!isSlow(run, usual, group.length)) continue;
      workers.add(run.worker);
      if (paysToRestart(run, usual)) restart.push(run.task);
    }
  }
  return { restart, workers };
}

function groupBySiblings(
  runs: readonly RunProgress[],
): Map<readonly Workflow.Task[], RunProgress[]> {
  const groups = new Map<readonly Workflow.Task[], RunProgress[]>();
  for (const run of runs) {
    if (run.ranMs < LEAST_RAN_MS || run.task.step.lasting) continue;
    const siblings = run.task.workflow.siblings(run.task);
    const group = groups.get(siblings);
    if (group === undefined) groups.set(siblings, [run]);
    else group.push(run);
  }
  return groups;
}

function rateOf(run: RunProgress): number {
  return run.came / run.ranMs;
}

/** Percent per millisecond: the upper median, or by the estimate if alone. */
function usualRate(group: readonly RunProgress[]): number {
  if (group.length === 1) return 100 / Math.max(1, estimateOf(group[0]));
  const rates = group.map(rateOf).sort((a, b) => b - a);
  return rates[Math.floor((rates.length - 1) / 2)];
}

function estimateOf(run: RunProgress): number {
  return run.task.step.estimateMs;
}

function isSlow(run: RunProgress, usual: number, others: number): boolean {
  if (run.percent >= NEARLY_DONE) return false;
  const share = others === 1 ? SLOW_SHARE_ALONE : SLOW_SHARE;
  return rateOf(run) < usual * share;
}

function paysToRestart(run: RunProgress, usual: number): boolean {
  const rate = Math.max(rateOf(run), 1e-6);
  const leftMs = (100 - run.percent) / rate;
  const done = run.task.step.checkpoints ? run.percent : 0;
  const againMs = (100 - done) / Math.max(usual, 1e-6) + RESTART_MS;
  return leftMs > againMs * GAIN;
}
