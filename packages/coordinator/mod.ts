/**
 * The coordinator: election, recovery of state, and execution of scheduling decisions.
 */
export { Coordinator } from "./src/work/coordinator.ts";
export {
  type CoordinatorDump,
  describeGiveUp,
  type EndpointDump,
  type EvacuationDump,
  type GiveUpDump,
  type GuaranteeDump,
  type RunDump,
  type WorkflowDump,
  type WorkflowReport,
} from "./src/work/describe.ts";
export {
  type Evacuation,
  EvacuationTracker,
  type EvacuationTrackerOptions,
} from "./src/endpoints/evacuation_tracker.ts";
export { Election } from "./src/election/election.ts";
export { type CoordinatorRow, Term } from "./src/election/term.ts";
export { restartOnDefect, type RestartOptions } from "./src/restart.ts";
export { MAX_SILENCE_MS, MIN_SILENCE_MS } from "./src/election/renewal_pace.ts";
export { OutageReports } from "./src/election/outage_reports.ts";
export {
  stopLateStarts,
  StopRetrySlots,
  type StopRound,
} from "./src/sessions/late_start_stops.ts";
export { Fitness } from "./src/election/fitness.ts";
export type { CoordinatorPorts, EndpointBounds } from "./src/ports.ts";
