/**
 * Estimates run times where endpoints differ in speed and callers' estimates are rough.
 * A gang that needs 2 s on endpoints of normal speed needs 3.3 s on slow ones, which
 * may exceed its objective.
 */
import * as Workflow from "@cairngate/workflow";
import * as rank from "./rank.ts";

/** Ratio of run time to estimate, by queue; 1 where estimates are accurate. */
export type Corrections = ReadonlyMap<string, number>;

/** Share of the endpoints that are faster than `bestSpeed`. */
const BEST_SPEED_QUANTILE = 0.1;
/** Lower bound of speeds, so that divisions stay finite. */
const MIN_SPEED = 0.05;
/** Time from the decision to stop a run until its capacity is free, in ms. */
export const STOP_ALLOWANCE_MS = 1000;

/** Estimates run times from endpoint speeds and corrected estimates. */
export class RunEstimator {
  /** Speed that one endpoint in ten reaches or exceeds. */
  readonly bestSpeed: number;
  readonly #corrections: Corrections;

  constructor(speeds: readonly number[], corrections: Corrections) {
    const sorted = [...speeds].sort((a, b) => b - a);
    const bestSpeed = sorted[Math.floor(sorted.length * BEST_SPEED_QUANTILE)] ??
      1;
    this.bestSpeed = Math.max(bestSpeed, MIN_SPEED);
    this.#corrections = corrections;
  }

  /** Expected run time if the slowest endpoint has the given speed, in ms. */
  expectedMs(
    unit: Pick<Workflow.Unit, "step" | "workflow">,
    slowestSpeed: number,
  ) {
    const { queue } = unit.workflow.spec.policy;
    const correction = this.#corrections.get(queue) ?? 1;
    return unit.step.estimateMs * correction /
      Math.max(slowestSpeed, MIN_SPEED);
  }

  /** Best outcome of a unit that starts now at `bestSpeed`. */
  bestOutcomeOf(unit: Workflow.Unit, wallMs: number): rank.Outcome {
    return rank.outcomeOf(
      unit,
      wallMs,
      this.expectedMs(unit, this.bestSpeed),
    );
  }

  /**
   * Lowest speed at which the unit still reaches its best outcome: it ends by its
   * objective, or late but while the result still counts. Infinite if neither is left.
   */
  neededSpeed(unit: Workflow.Unit, wallMs: number): number {
    const outcome = this.bestOutcomeOf(unit, wallMs);
    return this.#speedFor(unit, rank.timeToDeadlineMs(unit, wallMs, outcome));
  }

  /** Needed speed if other tasks have to stop first; infinite if that is too late. */
  neededSpeedAfterStops(unit: Workflow.Unit, wallMs: number): number {
    const outcome = this.bestOutcomeOf(unit, wallMs);
    return this.#speedFor(
      unit,
      rank.timeToDeadlineMs(unit, wallMs, outcome) - STOP_ALLOWANCE_MS,
    );
  }

  /** Whether a unit that starts at `start.wallMs` ends by its objective. */
  canEndInTime(
    unit: Workflow.Unit,
    start: { readonly wallMs: number; readonly slowestSpeed: number },
  ): boolean {
    const remainingMs = rank.timeToDeadlineMs(
      unit,
      start.wallMs,
      rank.Outcome.InTime,
    );
    return this.expectedMs(unit, start.slowestSpeed) <= remainingMs;
  }

  #speedFor(unit: Workflow.Unit, remainingMs: number): number {
    if (remainingMs <= 0) return Number.POSITIVE_INFINITY;
    return this.expectedMs(unit, 1) / remainingMs;
  }
}
