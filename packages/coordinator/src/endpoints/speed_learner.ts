/**
 * Feeds the rates of runs into the speed model: long runs by their progress, short runs
 * by their end only, because they report no progress before it.
 */
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as uneven from "./uneven_speeds.ts";
import type * as speeds from "./endpoint_speeds.ts";

/** Rates of the runs of one step. */
interface StepHistory {
  /** Newest rate of tasks that have made progress or have ended, by their index. */
  readonly rates: Map<number, speeds.RunRate>;
  /** Ended runs that were not compared yet. */
  fresh: speeds.RunRate[];
}

/** Progress rate of one task's run. */
export interface TaskRate {
  readonly task: Workflow.Task;
  readonly run: speeds.RunRate;
  /** Whether it was not compared before. */
  readonly isFresh: boolean;
}

/**
 * Share of a step's tasks whose rates have to be known before ended runs are compared:
 * the first ends come from fast endpoints, which would otherwise count as usual ones.
 */
const MIN_KNOWN_SHARE = 0.75;
/** Number of rates kept of one step: a wide one has far more tasks. */
const MAX_RATES = 500;
const DONE_PERCENT = 100;

/** Learns endpoint speeds during one term. */
export class SpeedLearner {
  readonly #speeds: uneven.UnevenSpeeds;
  /**
   * Durations of single tasks relative to their estimates, including members of gangs.
   */
  readonly #estimates = new Scheduler.EstimateCorrections();
  readonly #steps = new WeakMap<Workflow.TaskGroup, StepHistory>();

  constructor(unevenSpeeds: uneven.UnevenSpeeds) {
    this.#speeds = unevenSpeeds;
  }

  /** Takes in the current rates of runs of one step; at least one. */
  noteRunning(runs: readonly TaskRate[]): void {
    const [{ task }] = runs;
    const step = this.#historyOf(task);
    for (const { task: one, run } of runs) addRate(step, one, run);
    const fresh = runs.filter(({ isFresh }) => isFresh);
    this.#compare(task, fresh.map(({ run }) => run));
  }

  /**
   * Takes in a single task that completed. Members of a gang end together, which shows
   * the speed of the slowest one only.
   */
  noteEnd({ task, run, isFresh }: TaskRate): void {
    const step = this.#historyOf(task);
    addRate(step, task, run);
    if (isFresh) step.fresh.push(run);
    const count = Math.min(task.step.count, MAX_RATES);
    if (step.rates.size < count * MIN_KNOWN_SHARE) return;
    this.#compare(task, step.fresh);
    step.fresh = [];
  }

  #historyOf(task: Workflow.Task): StepHistory {
    const taskGroup = task.workflow.groupOf(task);
    const found = this.#steps.get(taskGroup) ?? { rates: new Map(), fresh: [] };
    this.#steps.set(taskGroup, found);
    return found;
  }

  /** Compares runs with all known rates of their step. */
  #compare(task: Workflow.Task, fresh: readonly speeds.RunRate[]): void {
    const { step: { estimateMs }, workflow } = task;
    const { queue } = workflow.spec.policy;
    const correction = this.#estimates.corrections.get(queue) ?? 1;
    const expectedRate = DONE_PERCENT / (estimateMs * correction);
    const all = [...this.#historyOf(task).rates.values()];
    this.#speeds.compare({ all, fresh, expectedRate });
    for (const { endpoint, rate } of fresh) {
      const tookMs = DONE_PERCENT / rate;
      const speed = this.#speeds.of(endpoint);
      this.#estimates.record({ queue, estimateMs, tookMs, speed });
    }
  }
}

/** Adds the newest rate of a task; drops the oldest rate beyond the limit. */
function addRate(
  { rates }: StepHistory,
  { index }: Workflow.Task,
  rate: speeds.RunRate,
): void {
  rates.set(index, rate);
  if (rates.size <= MAX_RATES) return;
  const [oldest] = rates.keys();
  rates.delete(oldest);
}
