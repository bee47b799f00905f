/** Checks the steps of a submitted workflow. */
import type * as spec from "./spec.ts";

/** A place in a submission that is not as it should be. */
export interface StepFault {
  readonly field: string;
  readonly expected: string;
}

/** Most tasks of one workflow over all of its steps and rounds. */
export const MOST_TASKS = 20_000;
const MOST_STEPS = 256;
/** Most members of a gang: all of them are placed at once. */
export const MOST_GANG = 500;

/** Finds the first fault; null where there is none. */
export function findStepFault(
  steps: readonly spec.StepSpec[],
  schedule: spec.Schedule | null,
): StepFault | null {
  if (steps.length === 0 || steps.length > MOST_STEPS) {
    return { field: "steps", expected: `1 to ${MOST_STEPS} steps` };
  }
  for (let i = 0; i < steps.length; i++) {
    const fault = findFault(steps[i], i);
    if (fault !== null) return fault;
  }
  const each = steps.reduce((sum, step) => sum + step.count, 0);
  if (each * (schedule?.rounds ?? 1) > MOST_TASKS) {
    return { field: "steps", expected: `at most ${MOST_TASKS} tasks in all` };
  }
  return null;
}

function findFault(step: spec.StepSpec, index: number): StepFault | null {
  const field = `steps[${index}]`;
  if (!Number.isInteger(step.count) || step.count < 1) {
    return { field: `${field}.count`, expected: "a whole number above 0" };
  }
  if (step.gang && step.count > MOST_GANG) {
    return { field: `${field}.count`, expected: `at most ${MOST_GANG}` };
  }
  const amounts = [step.cpuMillis, step.memoryMb, step.accelerators];
  if (amounts.some((n) => !Number.isFinite(n) || n < 0)) {
    return { field, expected: "resources of 0 or more" };
  }
  const isEarlier = (n: number) => Number.isInteger(n) && n >= 0 && n < index;
  if (!step.after.every(isEarlier)) {
    return { field: `${field}.after`, expected: "numbers of earlier steps" };
  }
  return null;
}
