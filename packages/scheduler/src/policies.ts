/** Named combinations of policies, parametrized by the operator's weighting. */
import type * as Types from "@cairngate/types";
import * as order from "./order_policy.ts";
import * as packing from "./packing_policy.ts";
import * as repair from "./repair_policy.ts";

/** The policies of a scheduler. */
export interface SchedulerPolicies {
  readonly order: order.OrderPolicy;
  readonly packing: packing.PackingPolicy;
  readonly repair: repair.RepairPolicy;
  /** Share of the racks that may be reserved for waiting gangs. */
  readonly reservedShare: number;
  /** Whether the packing policy chooses a place before the guarantee is tried. */
  readonly packFirst: boolean;
  /** Whether jobs are moved to empty racks while no job waits. */
  readonly consolidates: boolean;
  /** Whether urgent jobs may preempt opportunistic jobs of lower tiers. */
  readonly urgentPreempts: boolean;
}

/** Names of the combinations that the bench accepts. */
export const POLICY_NAMES = [
  "default",
  "arrival-order",
  "no-reservation",
  "first-fit",
  "no-repair",
  "no-displacement",
  "guarantee-first",
  "no-consolidation",
] as const;

/** Name of a combination of policies. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Delay of a team in the order while it uses its whole share. */
const FAIR_SHARE_MS = 600_000;
/** Largest share of the racks that is reserved for waiting gangs. */
const RESERVED_SHARE = 0.25;

/** Creates the policies of a name for the operator's weighting. */
export function createPolicies(
  weighting: Types.Weighting,
  name: PolicyName = "default",
): SchedulerPolicies {
  const base = createDefault(weighting);
  switch (name) {
    case "arrival-order":
      return { ...base, order: new order.ArrivalOrder() };
    case "no-reservation":
      return { ...base, reservedShare: 0 };
    case "first-fit":
      return { ...base, packing: new packing.FirstFit() };
    case "no-repair":
      return { ...base, repair: new repair.NoRepair() };
    case "no-consolidation":
      return { ...base, consolidates: false };
    case "guarantee-first":
      return { ...base, packFirst: false };
    case "no-displacement":
      return { ...base, urgentPreempts: false };
    default:
      return base;
  }
}

function createDefault(weighting: Types.Weighting): SchedulerPolicies {
  const ageing = 1 + 4 * weighting.completionTime;
  const repairShare = 0.2 * weighting.fragmentation;
  return {
    order: new order.AgedShortestFirst(ageing, FAIR_SHARE_MS),
    packing: new packing.BestFit(),
    repair: new repair.BudgetedRepair(repairShare),
    reservedShare: RESERVED_SHARE,
    packFirst: true,
    consolidates: weighting.fragmentation > weighting.completionTime,
    urgentPreempts: true,
  };
}
