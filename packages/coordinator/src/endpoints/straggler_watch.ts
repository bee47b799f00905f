/**
 * Finds stragglers, and the endpoints that hold them: runs much slower than they were
 * before, or than the other tasks of their step. Estimates are rough and count only
 * where there is nothing else to compare with.
 */
import * as Workflow from "@cairngate/workflow";

/** Progress of a run. */
export interface RunProgress {
  readonly task: Workflow.Task;
  readonly endpoint: string;
  /** Speed of its endpoint, by which its rate is normalised; 1 is the usual one. */
  readonly speed: number;
  /** Time for which the run was watched, in ms. */
  readonly ranMs: number;
  /** Progress, 0 to 100. */
  readonly percent: number;
  /** Progress made in the time watched, 0 to 100. */
  readonly progressPercent: number;
  /** Percent per millisecond recently, and before that; null where unknown. */
  readonly recentRate: number | null;
  readonly earlierRate: number | null;
  /** Time for which the run has been slow, in ms. */
  readonly slowForMs: number;
}

/** Slow runs, and what to do about them. */
export interface Stragglers {
  /** Runs that are slow now. */
  readonly slow: ReadonlySet<Workflow.Task>;
  /** Slow runs that would end sooner if they restarted elsewhere. */
  readonly restart: readonly Workflow.Task[];
  /** Endpoints that hold slow runs. */
  readonly endpoints: ReadonlySet<string>;
}

/** Minimum time watched before a run is judged, in ms. */
const MIN_WATCHED_MS = 900;
/** A run below this share of its own earlier rate is slow. */
const SLOW_SHARE_OF_EARLIER = 0.4;
/** A run below this share of the usual rate of its step is slow. */
const SLOW_SHARE = 0.28;
/**
 * Share of the estimated rate that counts as slow without other runs to compare with.
 */
const SLOW_SHARE_ALONE = 0.18;
/** Overhead of a restart, in ms. */
const RESTART_COST_MS = 600;
/** Minimum gain of a restart, as a ratio of times, because rates are rough. */
const MIN_RESTART_GAIN = 1.3;
const NEARLY_DONE_PERCENT = 97;
/** Slow runs after which the task itself counts as slow. */
const MAX_SLOW_RUNS = 2;
const MAX_SLOW_RUNS_ALONE = 1;
/** Expected duration of a slow phase of an endpoint, in ms. */
const EXPECTED_SLOW_MS = 4000;
/** Lower bound of a rate, in percent per ms, where there is no progress. */
const MIN_RATE = 1e-6;

/** Compares the runs of each step and returns the stragglers. */
export function findStragglers(runs: readonly RunProgress[]): Stragglers {
  const slow = new Set<Workflow.Task>();
  const restart: Workflow.Task[] = [];
  const endpoints = new Set<string>();
  for (const group of groupBySiblings(runs).values()) {
    const usual = usualRate(group);
    for (const run of group) {
      const maxRuns = group.length === 1 ? MAX_SLOW_RUNS_ALONE : MAX_SLOW_RUNS;
      if (!isSlow(run, usual, group.length)) continue;
      if (run.earlierRate === null && run.task.slowRuns >= maxRuns) continue;
      slow.add(run.task);
      endpoints.add(run.endpoint);
      const mayRestart = run.task.slowRuns < maxRuns;
      if (mayRestart && isWorthRestarting(run, usual)) restart.push(run.task);
    }
  }
  return { slow, restart, endpoints };
}

function groupBySiblings(
  runs: readonly RunProgress[],
): Map<Workflow.TaskGroup, RunProgress[]> {
  const groups = new Map<Workflow.TaskGroup, RunProgress[]>();
  for (const run of runs) {
    if (run.ranMs < MIN_WATCHED_MS || run.task.step.lasting) continue;
    const taskGroup = run.task.workflow.groupOf(run.task);
    const group = groups.get(taskGroup);
    if (group === undefined) groups.set(taskGroup, [run]);
    else group.push(run);
  }
  return groups;
}

function rateOf(run: RunProgress): number {
  return run.progressPercent / run.ranMs;
}

/** The recent rate where it is known, or else the mean rate. */
function recentRateOf(run: RunProgress): number {
  return run.recentRate ?? rateOf(run);
}

/** Rate that the run would have on an endpoint of usual speed. */
function usualRateOf(run: RunProgress): number {
  return rateOf(run) / run.speed;
}

/**
 * Percent per millisecond on an endpoint of usual speed: the upper median of the group,
 * or the estimate if the run is alone.
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
