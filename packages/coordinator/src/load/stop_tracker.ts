/**
 * Counts the outcomes of preemptions: whether the work that others were stopped for was
 * in time.
 */
import type * as Metrics from "@cairngate/metrics";
import * as Workflow from "@cairngate/workflow";
import type * as Scheduler from "@cairngate/workflow-scheduler";

/** Outcome of stopping one run for other work. */
export enum StopResult {
  /** The work took the freed capacity and met its objective. */
  InTime = "in_time",
  /** The work took the freed capacity and still missed its objective. */
  Late = "late",
  /** The work started without the freed capacity. */
  Elsewhere = "elsewhere",
  /** The work ended without starting: it was cancelled or given up. */
  NeverStarted = "never_started",
}

/** Number of stops by outcome. */
export interface StopCounts extends Readonly<Record<StopResult, number>> {
  /** Stops whose outcome is not known yet. */
  readonly open: number;
}

/** Facts that decide the outcome of a stop. */
export interface StopFacts {
  /** Endpoint of the stopped run; null where it had none any more. */
  readonly freed: string | null;
  /** Endpoints on which the claimant has started since; null where it has not. */
  readonly started: readonly string[] | null;
  readonly isInTime: boolean;
}

/** Returns the outcome of a stop, once the claimant is over. */
export function resultOf({ freed, started, isInTime }: StopFacts): StopResult {
  if (started === null) return StopResult.NeverStarted;
  if (freed === null || !started.includes(freed)) return StopResult.Elsewhere;
  return isInTime ? StopResult.InTime : StopResult.Late;
}

interface Stop {
  readonly freed: string | null;
  readonly queue: string;
  readonly isEarly: boolean;
}

interface Claim {
  readonly unit: Workflow.Unit;
  readonly stops: Stop[];
  started: readonly string[] | null;
}

/** Age below which a stopped run counts as just started, in ms. */
const EARLY_MS = 1000;
/** Maximum number of claims tracked at a time; further ones are not counted. */
const MAX_CLAIMS = 2000;

/** Tracks the stops of one term until their outcomes are known. */
export class StopTracker {
  readonly #metrics: Metrics.Metrics;
  /** Claims by the claimant's first task. */
  readonly #claims = new Map<Workflow.Task, Claim>();
  readonly #counts = {
    [StopResult.InTime]: 0,
    [StopResult.Late]: 0,
    [StopResult.Elsewhere]: 0,
    [StopResult.NeverStarted]: 0,
  };

  constructor(metrics: Metrics.Metrics) {
    this.#metrics = metrics;
  }

  /** Stops of this term by outcome. */
  get counts(): StopCounts {
    const stops = [...this.#claims.values()].map((claim) => claim.stops.length);
    const open = stops.reduce((sum, one) => sum + one, 0);
    return { ...this.#counts, open };
  }

  /** Notes a run that is stopped for a claimant. */
  noteStop(decision: Scheduler.StopDecision, nowMs: number): void {
    const { task, claimant: unit } = decision;
    const [first] = unit.tasks;
    const claim = this.#claims.get(first) ?? { unit, stops: [], started: null };
    if (this.#claims.size >= MAX_CLAIMS && claim.stops.length === 0) return;
    this.#claims.set(first, claim);
    claim.stops.push({
      freed: task.endpoint,
      queue: task.workflow.spec.policy.queue,
      isEarly: nowMs - task.startedAtMs < EARLY_MS,
    });
  }

  /** Notes a unit that starts; it may be a claimant. */
  noteStart({ unit, endpointIds }: Scheduler.StartDecision): void {
    const claim = this.#claims.get(unit.tasks[0]);
    if (claim !== undefined) claim.started ??= endpointIds;
  }

  /** Counts the stops whose claimants are over. */
  countEnded(wallMs: number): void {
    for (const [first, claim] of this.#claims) {
      const { workflow, round } = claim.unit;
      if (!workflow.isOver) continue;
      const isDone = workflow.state === Workflow.WorkflowState.Completed;
      const isInTime = isDone &&
        wallMs <= Workflow.objectiveAtMs(workflow.spec, round);
      for (const stop of claim.stops) this.#count(stop, claim, isInTime);
      this.#claims.delete(first);
    }
  }

  #count(stop: Stop, { started }: Claim, isInTime: boolean): void {
    const { freed, queue, isEarly } = stop;
    const result = resultOf({ freed, started, isInTime });
    this.#counts[result]++;
    const age = isEarly ? "under_1s" : "1s_and_more";
    this.#metrics.count("cairngate_stops_total", { result, queue, age });
  }
}
