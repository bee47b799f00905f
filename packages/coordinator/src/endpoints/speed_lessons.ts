/**
 * What runs teach of the speeds of endpoints: long ones by their pace, short ones only
 * by their end, as nothing tells how they come on before it.
 */
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as uneven from "./uneven_speeds.ts";
import type * as speeds from "./endpoint_speeds.ts";

/** What is known of the runs of one step. */
interface StepHistory {
  /** Newest rate of each task that has come so far or has ended. */
  readonly rates: Map<Workflow.Task, speeds.RunRate>;
  /** Runs that have ended and were not compared yet. */
  fresh: speeds.RunRate[];
}

/** Rate of the run of one task. */
export interface TaskRate {
  readonly task: Workflow.Task;
  readonly run: speeds.RunRate;
  /** Whether it was not compared before. */
  readonly isFresh: boolean;
}

/**
 * Share of a step's tasks whose rates have to be known where one has ended: the first
 * ends are those of fast endpoints, which would look like usual ones.
 */
const MIN_KNOWN_SHARE = 0.75;
const DONE_PERCENT = 100;

/** Lessons of one term. */
export class SpeedLearner {
  readonly #speeds: uneven.UnevenSpeeds;
  /** What single tasks took against their estimates, also those of gangs. */
  readonly #estimates = new Scheduler.EstimateBook();
  readonly #steps = new WeakMap<readonly Workflow.Task[], StepHistory>();

  constructor(unevenSpeeds: uneven.UnevenSpeeds) {
    this.#speeds = unevenSpeeds;
  }

  /** Runs of one step go on at these rates; at least one. */
  noteRunning(runs: readonly TaskRate[]): void {
    const [{ task }] = runs;
    const step = this.#historyOf(task);
    for (const { task: one, run } of runs) step.rates.set(one, run);
    const fresh = runs.filter(({ isFresh }) => isFresh);
    this.#compare(task, fresh.map(({ run }) => run));
  }

  /**
   * A task has ended well that ran by itself; members of a gang end together, which
   * tells of the slowest one only.
   */
  noteEnd({ task, run, isFresh }: TaskRate): void {
    const step = this.#historyOf(task);
    step.rates.set(task, run);
    if (isFresh) step.fresh.push(run);
    const count = task.workflow.siblings(task).length;
    if (step.rates.size < count * MIN_KNOWN_SHARE) return;
    this.#compare(task, step.fresh);
    step.fresh = [];
  }

  #historyOf(task: Workflow.Task): StepHistory {
    const siblings = task.workflow.siblings(task);
    const found = this.#steps.get(siblings) ?? { rates: new Map(), fresh: [] };
    this.#steps.set(siblings, found);
    return found;
  }

  /** Compares runs with all that is known of their step. */
  #compare(task: Workflow.Task, fresh: readonly speeds.RunRate[]): void {
    const { step: { estimateMs }, workflow } = task;
    const { queue } = workflow.spec.policy;
    const correction = this.#estimates.corrections.get(queue) ?? 1;
    const expectedRate = DONE_PERCENT / (estimateMs * correction);
    const all = [...this.#historyOf(task).rates.values()];
    this.#speeds.compare({ all, fresh, expectedRate });
    for (const { worker, rate } of fresh) {
      const tookMs = DONE_PERCENT / rate;
      const speed = this.#speeds.of(worker);
      this.#estimates.note({ queue, estimateMs, tookMs, speed });
    }
  }
}
