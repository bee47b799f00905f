/** Estimates the memory that a coordinator takes for a workflow. */
import type * as spec from "./spec.ts";
import * as workflows from "./workflow.ts";

/** A workflow of no steps, in bytes. */
const WORKFLOW_BYTES = 3000;
/** One step of a specification, in bytes. */
const STEP_BYTES = 300;
/** The object of one task, in bytes. */
const TASK_BYTES = 350;

/**
 * Returns an upper estimate for a workflow from its acceptance to its removal, in
 * bytes. Only tasks in progress take memory.
 */
export function estimateBytes(workflowSpec: spec.WorkflowSpec): number {
  const { steps, payload, schedule } = workflowSpec;
  const perRound = steps.reduce((sum, { count }) => sum + count, 0);
  const tasks = perRound * (schedule?.rounds ?? 1);
  const inProgress = Math.min(tasks, workflows.MAX_PLACED_TASKS);
  return WORKFLOW_BYTES + Buffer.byteLength(payload) +
    steps.length * STEP_BYTES + inProgress * TASK_BYTES;
}
