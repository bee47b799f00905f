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
  readonly progressPercent: number;
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
const MIN_WATCHED_MS = 900;
/** A run below this share of its own earlier pace is slow. */
const SLOW_SHARE_OF_EARLIER = 0.4;
/** A run below this share of the usual pace of its step is slow. */
const SLOW_SHARE = 0.28;
/** Without others to compare with, only this share of the estimate counts. */
const SLOW_SHARE_ALONE = 0.18;
/** Time that a restart costs beside the work. */
const RESTART_COST_MS = 600;
/** A restart has to be this much better, because rates are rough. */
const MIN_RESTART_GAIN = 1.3;
const NEARLY_DONE_PERCENT = 97;
/** A task that stays slow elsewhere is slow itself. */
const MAX_SLOW_RUNS = 2;
const MAX_SLOW_RUNS_ALONE = 1;
/** A worker that turns slow mostly stays so for a while, not for good. */
const EXPECTED_SLOW_MS = 4000;
/** Stands for no progress at all. */
const MIN_RATE = 1e-6;

/** Compares the runs of each step. */
export function findStragglers(runs: readonly RunProgress[]): Stragglers {
  const slow = new Set<Workflow.Task>();
  const restart: Workflow.Task[] = [];
  const workers = new Set<string>();
  for (const group of groupBySiblings(runs).values()) {
    const usual = usualRate(group);
    for (const run of group) {
      const maxRuns = group.length === 1 ? MAX_SLOW_RUNS_ALONE : MAX_SLOW_RUNS;
      if (!isSlow(run, usual, group.length)) continue;
      if (run.earlierRate === null && run.task.slowRuns >= maxRuns) continue;
      slow.add(run.task);
      workers.add(run.worker);
      const mayRestart = run.task.slowRuns < maxRuns;
      if (mayRestart && isWorthRestarting(run, usual)) restart.push(run.task);
    }
  }
  return { slow, restart, workers };
}

function groupBySiblings(
  runs: readonly RunProgress[],
): Map<readonly Workflow.Task[], RunProgress[]> {
  const groups = new Map<readonly Workflow.Task[], RunProgress[]>();
  for (const run of runs) {
    if (run.ranMs < MIN_WATCHED_MS || run.task.step.lasting) continue;
    const siblings = run.task.workflow.siblings(run.task);
    const group = groups.get(siblings);
    if (group === undefined) groups.set(siblings, [run]);
    else group.push(run);
  }
  return groups;
}

function rateOf(run: RunProgress): number {
  return run.progressPercent / run.ranMs;
}

/** Pace of late, where it is known. */
function recentRateOf(run: RunProgress): number {
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

function isSlow(run: RunProgress, usual: number, groupSize: number): boolean {
  if (run.percent >= NEARLY_DONE_PERCENT) return false;
  if (run.earlierRate !== null && run.earlierRate > 0) {
    return recentRateOf(run) < run.earlierRate * SLOW_SHARE_OF_EARLIER;
  }
  const share = groupSize === 1 ? SLOW_SHARE_ALONE : SLOW_SHARE;
  return recentRateOf(run) < usual * run.speed * share;
}

function isWorthRestarting(run: RunProgress, usual: number): boolean {
  const healthyRate = Math.max(run.earlierRate ?? usual, MIN_RATE);
  const healthyMs = (100 - run.percent) / healthyRate;
  const slowMs = (100 - run.percent) / Math.max(recentRateOf(run), MIN_RATE);
  const recoveryMs = Math.max(EXPECTED_SLOW_MS, run.slowForMs) + healthyMs;
  const leftMs = Math.min(slowMs, recoveryMs);
  const keptPercent = run.task.step.checkpoints ? run.percent : 0;
  const restartMs = (100 - keptPercent) / healthyRate + RESTART_COST_MS;
  return leftMs > restartMs * MIN_RESTART_GAIN;
}
