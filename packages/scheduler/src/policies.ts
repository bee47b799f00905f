/** Named combinations of policies; an operator's weighting selects one. */
import type * as Types from "@cairngate/types";
import * as order from "./order_policy.ts";
import * as packing from "./packing_policy.ts";
import * as repair from "./repair_policy.ts";

/** The policies that a scheduler runs with. */
export interface SchedulerPolicies {
  readonly order: order.OrderPolicy;
  readonly packing: packing.PackingPolicy;
  readonly repair: repair.RepairPolicy;
  /** Share of the racks that may be reserved for waiting gangs. */
  readonly reservedShare: number;
  /** Whether packing chooses the place before the guarantee does. */
  readonly packFirst: boolean;
  /** Whether work is moved to make racks whole while nothing waits. */
  readonly consolidates: boolean;
  /** Whether urgent work may displace lower tiers on unclaimed capacity. */
  readonly urgentPreempts: boolean;
}

/** Names that the bench accepts. */
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

const FAIR_SHARE_MS = 600_000;
const RESERVED_SHARE = 0.25;

/** The policies of a name, tuned by an operator's weighting. */
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
