/** Computes scheduling plans for workflows, from plain data to plain data. */
export {
  doEndpointsDiffer,
  type HardLoad,
  hasDominantTeam,
  NO_HARD_LOAD,
  speedSpread,
} from "./src/hard_load.ts";
export { type EndpointSnapshot, fitTogether, isEligible } from "./src/fleet.ts";
export {
  type EndedRun,
  type EstimateAccuracy,
  EstimateCorrections,
} from "./src/estimate_corrections.ts";
export { type Corrections } from "./src/run_estimator.ts";
export {
  makePlan,
  type Plan,
  type PlanInput,
  type StartDecision,
  type StopDecision,
} from "./src/plan.ts";
export { SlowReason } from "./src/slow_start.ts";
export { countEndpoints, type EndpointCounts } from "./src/count_endpoints.ts";
export { type WaitDecision, WaitReason } from "./src/wait_reason.ts";
export { UrgentArrivals } from "./src/urgent_arrivals.ts";
export { type UrgentTraffic } from "./src/reserve_size.ts";
export {
  type Amounts as TeamAmounts,
  computeShares,
  decayUse,
  HALF_LIFE_MS,
  isBelowShare,
  levelOfTeam,
  ShareLevel,
  sharesHeld,
  type TeamShare,
  type TeamShares,
  weightsOf,
} from "./src/team_shares.ts";
export { acceleratorsOf, Outcome, outcomeOf, Ranks } from "./src/rank.ts";
