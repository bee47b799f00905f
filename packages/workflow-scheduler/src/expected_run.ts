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
const FASTER_SHARE = 0.1;
/** Stands for no speed at all. */
const LEAST_SPEED = 0.05;
/** Time that an endpoint needs to be free for another run once one has to stop, in ms. */
export const STOP_MS = 1000;

/** Expects runs by the speeds of endpoints and what estimates were worth. */
export class RunOutlook {
  /** Speed that one endpoint in ten reaches. */
  readonly bestSpeed: number;
  readonly #corrections: Corrections;

  constructor(speeds: readonly number[], corrections: Corrections) {
    const sorted = [...speeds].sort((a, b) => b - a);
    const best = sorted[Math.floor(sorted.length * FASTER_SHARE)] ?? 1;
    this.bestSpeed = Math.max(best, LEAST_SPEED);
    this.#corrections = corrections;
  }

  /** Time of a run on endpoints of which the slowest has this speed, in ms. */
  expectedMs(unit: Pick<Workflow.Unit, "step" | "workflow">, slowest: number) {
    const { queue } = unit.workflow.spec.policy;
    const correction = this.#corrections.get(queue) ?? 1;
    return unit.step.estimateMs * correction / Math.max(slowest, LEAST_SPEED);
  }

  /** What a unit can still reach on the best endpoints. */
  hopeOf(unit: Workflow.Unit, wallMs: number): rank.Hope {
    return rank.hopeOf(unit, wallMs, this.expectedMs(unit, this.bestSpeed));
  }

  /**
   * Speed that endpoints need so that the unit reaches what it still can: an end by
   * its objective, else an end that is late and of use. Infinite where it can't.
   */
  neededSpeed(unit: Workflow.Unit, wallMs: number): number {
    const hope = this.hopeOf(unit, wallMs);
    return this.#speedFor(unit, rank.leftMs(unit, wallMs, hope));
  }

  /** The same, if others have to stop there first; infinite if that is too late. */
  neededSpeedAfterStops(unit: Workflow.Unit, wallMs: number): number {
    const hope = this.hopeOf(unit, wallMs);
    return this.#speedFor(unit, rank.leftMs(unit, wallMs, hope) - STOP_MS);
  }

  /** Whether a unit that starts after some time still ends by its objective. */
  endsInTime(
    unit: Workflow.Unit,
    start: { readonly wallMs: number; readonly slowest: number },
  ): boolean {
    const leftMs = rank.leftMs(unit, start.wallMs, rank.Hope.InTime);
    return this.expectedMs(unit, start.slowest) <= leftMs;
  }

  #speedFor(unit: Workflow.Unit, leftMs: number): number {
    if (leftMs <= 0) return Number.POSITIVE_INFINITY;
    return this.expectedMs(unit, 1) / leftMs;
  }
}
