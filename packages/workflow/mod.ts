/** Workflows: their specification, state and progress records. */
export {
  type AdvicePolicy,
  countRounds,
  createStep,
  criticalPathMs,
  dueAtMs,
  LATE_FACTOR,
  objectiveAtMs,
  type QueuePolicy,
  type QueueRouting,
  type Resources,
  type Schedule,
  type StepSpec,
  withoutWork,
  type WorkflowSpec,
} from "./src/spec.ts";
export {
  findInvalidField,
  type InvalidField,
  MAX_TASKS,
} from "./src/check_steps.ts";
export {
  RunEnd,
  type Task,
  type TaskGroup,
  TaskState,
  type UnresolvedRun,
} from "./src/task.ts";
export {
  type CrashCount,
  type CrashEvidence,
  CrashScale,
  GiveUpReason,
  isProvenStable,
  Presence,
  restartDelayMs,
} from "./src/restart_budget.ts";
export {
  CountedAs,
  type RunEntry,
  RunEvidence,
  type RunHistory,
} from "./src/run_history.ts";
export { estimateBytes } from "./src/memory_estimate.ts";
export { type GiveUp } from "./src/give_up.ts";
export { decodeGiveUp } from "./src/history_record.ts";
export { decodeProgress } from "./src/decode_progress.ts";
export { type CallerScope, isInScope } from "./src/caller_scope.ts";
export { decodeCallerScope } from "./src/decode_caller_scope.ts";
export { decodeSpec } from "./src/decode_spec.ts";
export { type RunEndDetails, type Unit, Workflow } from "./src/workflow.ts";
export { isFinal, WorkflowState } from "./src/workflow_state.ts";
export {
  applyProgressRecord,
  type ProgressRecord,
  type TaskRecord,
  toProgressRecord,
  visibleStateOf,
} from "./src/progress_record.ts";
