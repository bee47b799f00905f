/** Validates the steps of a submitted workflow. */
import type * as spec from "./spec.ts";

/** An invalid field of a submission. */
export interface InvalidField {
  readonly field: string;
  readonly expected: string;
}

/** Maximum number of tasks of a workflow, over all steps and rounds. */
export const MAX_TASKS = 20_000;
const MAX_STEPS = 256;
/** Maximum number of members of a gang, which are all placed at once. */
export const MAX_GANG_MEMBERS = 500;

/** Returns the first invalid field; null if all are valid. */
export function findInvalidField(
  steps: readonly spec.StepSpec[],
  schedule: spec.Schedule | null,
): InvalidField | null {
  if (steps.length === 0 || steps.length > MAX_STEPS) {
    return { field: "steps", expected: `1 to ${MAX_STEPS} steps` };
  }
  for (let i = 0; i < steps.length; i++) {
    const invalidField = findInvalidStepField(steps[i], i);
    if (invalidField !== null) return invalidField;
  }
  const tasksPerRound = steps.reduce((sum, step) => sum + step.count, 0);
  if (tasksPerRound * (schedule?.rounds ?? 1) > MAX_TASKS) {
    return { field: "steps", expected: `at most ${MAX_TASKS} tasks in all` };
  }
  return null;
}

function findInvalidStepField(
  step: spec.StepSpec,
  index: number,
): InvalidField | null {
  const field = `steps[${index}]`;
  if (!Number.isInteger(step.count) || step.count < 1) {
    return { field: `${field}.count`, expected: "a whole number above 0" };
  }
  if (step.gang && step.count > MAX_GANG_MEMBERS) {
    return { field: `${field}.count`, expected: `at most ${MAX_GANG_MEMBERS}` };
  }
  const resources = [step.cpuMillis, step.memoryMb, step.accelerators];
  if (resources.some((n) => !Number.isFinite(n) || n < 0)) {
    return { field, expected: "resources of 0 or more" };
  }
  const isEarlierStep = (n: number) =>
    Number.isInteger(n) && n >= 0 && n < index;
  if (!step.after.every(isEarlierStep)) {
    return { field: `${field}.after`, expected: "numbers of earlier steps" };
  }
  return null;
}
