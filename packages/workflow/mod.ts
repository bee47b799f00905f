/** Workflows: their specification, state and progress records. */
export {
  type AdvicePolicy,
  countRounds,
  createStep,
  dueAtMs,
  LATE_FACTOR,
  longestChainMs,
  objectiveAtMs,
  type QueuePolicy,
  type Resources,
  type Schedule,
  type StepSpec,
  withoutWork,
  type WorkflowSpec,
} from "./src/spec.ts";
export {
  findStepFault,
  MOST_TASKS,
  type StepFault,
} from "./src/check_steps.ts";
export { type OpenEnd, RunEnd, type Task, TaskState } from "./src/task.ts";
export {
  type CrashCount,
  type CrashEvidence,
  CrashFellows,
  GiveUpReason,
  holdMs,
  isProvenLasting,
  Presence,
} from "./src/restart_budget.ts";
export {
  RunCount,
  type RunEntry,
  RunEvidence,
  type RunHistory,
} from "./src/run_history.ts";
export { type GiveUp } from "./src/give_up.ts";
export { readGiveUp } from "./src/history_record.ts";
export { type EndOfRun, type Unit, Workflow } from "./src/workflow.ts";
export { isFinal, WorkflowState } from "./src/workflow_state.ts";
export {
  applyProgress,
  type ListedTask,
  type ProgressRecord,
  toProgress,
} from "./src/progress_record.ts";
