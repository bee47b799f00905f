/** Workflows: what is asked for, and how far it has come. */
export {
  type AdvicePolicy,
  countRounds,
  createStep,
  dueAtMs,
  longestChainMs,
  objectiveAtMs,
  type QueuePolicy,
  type Resources,
  type Schedule,
  type StepSpec,
  type WorkflowSpec,
} from "./src/spec.ts";
export {
  findStepFault,
  MOST_TASKS,
  type StepFault,
} from "./src/check_steps.ts";
export { RunEnd, Task, TaskState } from "./src/task.ts";
export { isFinal, type Unit, Workflow, WorkflowState } from "./src/workflow.ts";
export {
  applyProgress,
  type ProgressRecord,
  type TaskRecord,
  toProgress,
} from "./src/progress_record.ts";
