/** Explains to operators why urgent work starts on endpoints where it will be late. */
import type * as Workflow from "@cairngate/workflow";
import type * as estimates from "./run_estimator.ts";
import type * as placement from "./placement.ts";
import * as rank from "./rank.ts";
import * as bands from "./speed_bands.ts";

/** Why an urgent unit did not get endpoints that are fast enough. */
export enum SlowReason {
  /** Faster endpoints were in use, and freeing them was too slow or too costly. */
  FasterInUse = "taken",
  /** It has waited so long that no endpoint is fast enough. */
  TooLate = "too-late",
}

/** Why a unit starts where it will be late; null if it is not urgent or in time. */
export function slowReason(
  unit: Workflow.Unit,
  places: placement.Placement,
  now: { readonly estimator: estimates.RunEstimator; readonly wallMs: number },
): SlowReason | null {
  const { estimator, wallMs } = now;
  if (unit.workflow.spec.policy.priority > 0) return null;
  const slowestSpeed = bands.slowestOf(places);
  if (estimator.canEndInTime(unit, { wallMs, slowestSpeed })) return null;
  const couldEndInTime =
    estimator.bestOutcomeOf(unit, wallMs) === rank.Outcome.InTime;
  return couldEndInTime ? SlowReason.FasterInUse : SlowReason.TooLate;
}
