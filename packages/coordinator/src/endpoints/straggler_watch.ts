/**
 * Finds runs that come on much more slowly than they did before, or than the
 * other tasks of their step, and the workers that hold them. Estimates are rough
 * and count only where there is nothing else to compare with.
 */
import * as Workflow from "@cairngate/workflow";

/** How far a run has come. */
export interface RunProgress {
  readonly task: Workflow.Task;
  readonly worker: string;
  /** Speed of its worker, by which its pace is compared; 1 is the usual one. */
  readonly speed: number;
  /** Time for which the run was watched. */
  readonly ranMs: number;
  /** Share that is done, 0 to 100. */
  readonly percent: number;
  /** Share that came in the time watched. */
  readonly came: number;
  /** Percent per millisecond of late, and before that; null: not known. */
  readonly recentRate: number | null;
  readonly earlierRate: number | null;
  /** Time for which the run has been slow. */
  readonly slowForMs: number;
}

/** What to do about slow runs. */
export interface Stragglers {
  /** Runs that are slow now. */
  readonly slow: ReadonlySet<Workflow.Task>;
  /** Those of them that would end sooner if they began again elsewhere. */
  readonly restart: readonly Workflow.Task[];
  /** Workers that hold slow runs. */
  readonly workers: ReadonlySet<string>;
}

/** A run this young says nothing yet. */
const LEAST_RAN_MS = 900;
/** A run below this share of its own earlier pace is slow. */
const SLOW_SHARE_OF_ITSELF = 0.4;
/** A run below this share of the usual pace of its step is slow. */
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
/** A worker that turns slow mostly stays so for a while, not for good. */
const LIKELY_SLOW_MS = 4000;
/** Stands for no progress at all. */
const LEAST_RATE = 1e-6;

/** Compares the runs of each step. */
export function findStragglers(runs: readonly RunProgress[]): Stragglers {
  const slow = new Set<Workflow.Task>();
  const restart: Workflow.Task[] = [];
  const workers = new Set<string>();
  for (const group of groupBySiblings(runs).values()) {
    const usual = usualRate(group);
    for (const run of group) {
      const most = group.length === 1 ? MOST_SLOW_RUNS_ALONE : MOST_SLOW_RUNS;
      if (!isSlow(run, usual, group.length)) continue;
      if (run.earlierRate === null && run.task.slowRuns >= most) continue;
      slow.add(run.task);
      workers.add(run.worker);
      const mayRestart = run.task.slowRuns < most;
      if (mayRestart && paysToRestart(run, usual)) restart.push(run.task);
    }
  }
  return { slow, restart, workers };
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

/** Pace of late, where it is known. */
function paceOf(run: RunProgress): number {
  return run.recentRate ?? rateOf(run);
}

/** Rate that the run would have on a worker of usual speed. */
function usualRateOf(run: RunProgress): number {
  return rateOf(run) / run.speed;
}

/**
 * Percent per millisecond on a worker of usual speed: the upper median, or by the
 * estimate if alone.
 */
function usualRate(group: readonly RunProgress[]): number {
  if (group.length === 1) return 100 / Math.max(1, estimateOf(group[0]));
  const rates = group.map(usualRateOf).sort((a, b) => b - a);
  return rates[Math.floor((rates.length - 1) / 2)];
}

function estimateOf(run: RunProgress): number {
  return run.task.step.estimateMs;
}

function isSlow(run: RunProgress, usual: number, others: number): boolean {
  if (run.percent >= NEARLY_DONE) return false;
  if (run.earlierRate !== null && run.earlierRate > 0) {
    return paceOf(run) < run.earlierRate * SLOW_SHARE_OF_ITSELF;
  }
  const share = others === 1 ? SLOW_SHARE_ALONE : SLOW_SHARE;
  return paceOf(run) < usual * run.speed * share;
}

function paysToRestart(run: RunProgress, usual: number): boolean {
  const wellRate = Math.max(run.earlierRate ?? usual, LEAST_RATE);
  const wellMs = (100 - run.percent) / wellRate;
  const slowMs = (100 - run.percent) / Math.max(paceOf(run), LEAST_RATE);
  const mendsMs = Math.max(LIKELY_SLOW_MS, run.slowForMs) + wellMs;
  const leftMs = Math.min(slowMs, mendsMs);
  const done = run.task.step.checkpoints ? run.percent : 0;
  const againMs = (100 - done) / wellRate + RESTART_MS;
  return leftMs > againMs * GAIN;
}
