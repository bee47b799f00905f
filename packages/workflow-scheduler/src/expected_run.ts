/**
 * How long runs take where endpoints differ in speed and estimates are rough: a gang
 * that needs 2 s on usual endpoints needs 3.3 s on slow ones, which may be more than
 * its objective allows.
 */
import * as Workflow from "@cairngate/workflow";
import * as rank from "./rank.ts";

/** What a queue's runs took against their estimates; 1 where they were true. */
export type Corrections = ReadonlyMap<string, number>;

/** Share of the endpoints that are faster than what counts as the best speed. */
const BEST_SPEED_QUANTILE = 0.1;
/** Stands for no speed at all. */
const MIN_SPEED = 0.05;
/** Time that an endpoint needs to be free for another run once one has to stop, in ms. */
export const STOP_ALLOWANCE_MS = 1000;

/** Expects runs by the speeds of endpoints and what estimates were worth. */
export class RunEstimator {
  /** Speed that one endpoint in ten reaches. */
  readonly bestSpeed: number;
  readonly #corrections: Corrections;

  constructor(speeds: readonly number[], corrections: Corrections) {
    const sorted = [...speeds].sort((a, b) => b - a);
    const bestSpeed = sorted[Math.floor(sorted.length * BEST_SPEED_QUANTILE)] ??
      1;
    this.bestSpeed = Math.max(bestSpeed, MIN_SPEED);
    this.#corrections = corrections;
  }

  /** Time of a run on endpoints of which the slowest has this speed, in ms. */
  expectedMs(
    unit: Pick<Workflow.Unit, "step" | "workflow">,
    slowestSpeed: number,
  ) {
    const { queue } = unit.workflow.spec.policy;
    const correction = this.#corrections.get(queue) ?? 1;
    return unit.step.estimateMs * correction /
      Math.max(slowestSpeed, MIN_SPEED);
  }

  /** What a unit can still reach on the best endpoints. */
  bestOutcomeOf(unit: Workflow.Unit, wallMs: number): rank.Hope {
    return rank.hopeOf(unit, wallMs, this.expectedMs(unit, this.bestSpeed));
  }

  /**
   * Speed that endpoints need so that the unit reaches what it still can: an end by
   * its objective, else an end that is late and of use. Infinite where it can't.
   */
  neededSpeed(unit: Workflow.Unit, wallMs: number): number {
    const outcome = this.bestOutcomeOf(unit, wallMs);
    return this.#speedFor(unit, rank.timeToDeadlineMs(unit, wallMs, outcome));
  }

  /** The same, if others have to stop there first; infinite if that is too late. */
  neededSpeedAfterStops(unit: Workflow.Unit, wallMs: number): number {
    const outcome = this.bestOutcomeOf(unit, wallMs);
    return this.#speedFor(
      unit,
      rank.timeToDeadlineMs(unit, wallMs, outcome) - STOP_ALLOWANCE_MS,
    );
  }

  /** Whether a unit that starts after some time still ends by its objective. */
  canEndInTime(
    unit: Workflow.Unit,
    start: { readonly wallMs: number; readonly slowestSpeed: number },
  ): boolean {
    const remainingMs = rank.timeToDeadlineMs(
      unit,
      start.wallMs,
      rank.Hope.InTime,
    );
    return this.expectedMs(unit, start.slowestSpeed) <= remainingMs;
  }

  #speedFor(unit: Workflow.Unit, remainingMs: number): number {
    if (remainingMs <= 0) return Number.POSITIVE_INFINITY;
    return this.expectedMs(unit, 1) / remainingMs;
  }
}
