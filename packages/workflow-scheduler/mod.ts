/** Computes scheduling plans for workflows, from plain data to plain data. */
export {
  doEndpointsDiffer,
  type HardLoad,
  haveLargeTeam,
  NO_HARD_LOAD,
  speedSpread,
} from "./src/hard_load.ts";
export { fitTogether, isEligible, type WorkerState } from "./src/fleet.ts";
export {
  type EndedRun,
  EstimateBook,
  type EstimateWorth,
} from "./src/estimate_book.ts";
export { type Corrections } from "./src/expected_run.ts";
export {
  makePlan,
  type Plan,
  type PlanInput,
  type StartDecision,
  type StopDecision,
} from "./src/plan.ts";
export { SlowReason } from "./src/slow_place.ts";
export { countRoom, type RoomCount } from "./src/count_room.ts";
export { type WaitDecision, WaitReason } from "./src/wait_reason.ts";
export { UrgentArrivals } from "./src/urgent_arrivals.ts";
export { type UrgentTraffic } from "./src/urgent_room.ts";
export {
  type Amounts as TeamAmounts,
  decayUse,
  HALF_LIFE_MS,
  isBelowShare,
  judgeShares,
  levelOfTeam,
  ShareLevel,
  sharesHeld,
  type TeamShare,
  type TeamShares,
  weightsOf,
} from "./src/team_shares.ts";
export { acceleratorsOf, Hope, hopeOf, Ranks } from "./src/rank.ts";
