/** Decisions about workflows as plain data. */
export { fitTogether, isEligible, type WorkerState } from "./src/fleet.ts";
export {
  makePlan,
  type Plan,
  type PlanInput,
  type StartDecision,
  type StopDecision,
  type WaitDecision,
  WaitReason,
} from "./src/plan.ts";
