/**
 * Learns what estimates are worth from runs that end well. It begins anew with each
 * term; a queue's estimates are judged by its own runs after about ten of them.
 */
import type * as Ports from "@cairngate/ports";
import type * as Workflow from "@cairngate/workflow";
import * as Scheduler from "@cairngate/workflow-scheduler";
import type * as occupants from "../sessions/occupant.ts";

/** Where an endpoint stands, and how fast it is. */
export interface RunSite {
  readonly rack: string;
  readonly speed: number;
}

/** What the estimates are learned with. */
export interface RunEstimatesOptions {
  readonly clock: Ports.Clock;
  /** Null where the endpoint is not listed. */
  readonly siteOf: (endpoint: string) => RunSite | null;
  /** Told of tasks that ran by themselves and have ended well. */
  readonly onSingle: (occupant: occupants.Occupant, tookMs: number) => void;
}

/** Estimates of one term. */
export class RunEstimates {
  readonly #options: RunEstimatesOptions;
  readonly #estimates = new Scheduler.EstimateBook();

  constructor(options: RunEstimatesOptions) {
    this.#options = options;
  }

  /** What runs of each queue took against their estimates. */
  get corrections(): Scheduler.Corrections {
    return this.#estimates.corrections;
  }

  /** The same for people. */
  describe(): readonly Scheduler.EstimateWorth[] {
    return this.#estimates.describe();
  }

  /** A run has ended well; called before its workflow takes that in. */
  noteDone(occupant: occupants.Occupant): void {
    const { task, run, sentAtMs } = occupant;
    const { workflow, step } = task;
    const members = step.gang ? workflow.siblings(task) : [task];
    // The first end of a gang stands for all of it; later ones find members released.
    const isWhole = members.every((one) => one.isPlaced && one.run === run);
    const isResumed = step.checkpoints && run > 1;
    if (sentAtMs === null || step.lasting || isResumed || !isWhole) return;
    const sites = members.map(({ worker }) =>
      this.#options.siteOf(worker ?? "")
    );
    if (!sites.every((site) => site !== null)) return;
    if (isRemote(step, sites)) return;
    const tookMs = this.#options.clock.monotonicMs() - sentAtMs;
    if (!step.gang) this.#options.onSingle(occupant, tookMs);
    this.#estimates.note({
      queue: workflow.spec.policy.queue,
      estimateMs: step.estimateMs,
      tookMs,
      speed: Math.min(...sites.map(({ speed }) => speed)),
    });
  }
}

/** Whether a run takes longer because of where it is. */
function isRemote(step: Workflow.StepSpec, sites: readonly RunSite[]): boolean {
  const racks = new Set(sites.map(({ rack }) => rack));
  if (step.rack !== null) return racks.size > 1 || !racks.has(step.rack);
  return step.gang && step.sameRack && racks.size > 1;
}
