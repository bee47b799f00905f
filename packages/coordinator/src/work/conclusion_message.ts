/** Log message for a workflow that has ended. */
import * as Workflow from "@cairngate/workflow";

/** Describes how long a workflow took compared with its objective. */
export function describeConclusion(
  workflow: Workflow.Workflow,
  nowMs: number,
): string {
  const { spec, state, unsuccessfulRuns } = workflow;
  const lastRound = Workflow.countRounds(spec) - 1;
  const dueMs = Workflow.dueAtMs(spec, lastRound);
  const allowedMs = Workflow.objectiveAtMs(spec, lastRound) - dueMs;
  const [first] = spec.steps;
  return `Workflow ${spec.id} of priority ${spec.policy.priority} is ${state} ` +
    `after ${Math.round(nowMs - dueMs)} of ${Math.round(allowedMs)} ms; ` +
    `${describeStart(workflow, dueMs)}, ${unsuccessfulRuns} runs lost; ` +
    `${first.count} tasks of ${first.accelerators} accelerators, ` +
    `gang ${first.gang}, same rack ${first.sameRack}.`;
}

function describeStart(
  { firstStartMs, hasBegun }: Workflow.Workflow,
  dueMs: number,
): string {
  if (firstStartMs !== null) {
    return `first start after ${Math.round(firstStartMs - dueMs)} ms`;
  }
  return hasBegun ? "started before this term" : "not started";
}
