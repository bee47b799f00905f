/**
 * Learns how accurate estimates are from runs that complete. Starts empty in each term;
 * a queue's estimates are corrected by its own runs after about ten of them.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as assignments from "../sessions/assignment.ts";

/** Rack and speed of an endpoint. */
export interface RunSite {
  readonly rack: string;
  readonly speed: number;
}

/** Options of the run estimates. */
export interface RunEstimatesOptions {
  readonly clock: Ports.Clock;
  /** Rack and speed of an endpoint; null where it is not listed. */
  readonly siteOf: (endpoint: string) => RunSite | null;
  /** Called for each single (non-gang) task that completed. */
  readonly onSingleTaskDone: (
    assignment: assignments.Assignment,
    tookMs: number,
  ) => void;
}

/** Accuracy of estimates, learned during one term. */
export class RunEstimates {
  readonly #options: RunEstimatesOptions;
  readonly #estimates = new Scheduler.EstimateCorrections();

  constructor(options: RunEstimatesOptions) {
    this.#options = options;
  }

  /** Correction factors of estimates by queue. */
  get corrections(): Scheduler.Corrections {
    return this.#estimates.corrections;
  }

  /** Statistics for the state dump. */
  describe(): readonly Scheduler.EstimateAccuracy[] {
    return this.#estimates.describe();
  }

  /**
   * Takes in a completed run. Has to be called before its workflow processes the end.
   */
  noteDone(assignment: assignments.Assignment): void {
    const { task, run, sentAtMs } = assignment;
    const { workflow, step } = task;
    const members = step.gang ? workflow.siblings(task) : [task];
    // The first end of a gang counts for all of it; at later ends members are already
    // released.
    const isWhole = members.every((one) => one.isPlaced && one.run === run);
    const isResumed = step.checkpoints && run > 1;
    if (sentAtMs === null || step.lasting || isResumed || !isWhole) return;
    const sites = members.map(({ endpoint }) =>
      this.#options.siteOf(endpoint ?? "")
    );
    if (!sites.every((site) => site !== null)) return;
    if (isRemote(step, sites)) return;
    const tookMs = this.#options.clock.monotonicMs() - sentAtMs;
    if (!step.gang) this.#options.onSingleTaskDone(assignment, tookMs);
    this.#estimates.record({
      queue: workflow.spec.policy.queue,
      estimateMs: step.estimateMs,
      tookMs,
      speed: Math.min(...sites.map(({ speed }) => speed)),
    });
  }
}

/** Whether a run takes longer because of the racks that it is placed on. */
function isRemote(step: Workflow.StepSpec, sites: readonly RunSite[]): boolean {
  const racks = new Set(sites.map(({ rack }) => rack));
  if (step.rack !== null) return racks.size > 1 || !racks.has(step.rack);
  return step.gang && step.sameRack && racks.size > 1;
}
