/** Decodes stored specifications of workflows, which any program may have written. */
import * as checkSteps from "./check_steps.ts";
import * as spec from "./spec.ts";
import * as checks from "./stored_value_checks.ts";

const { isCount, isFiniteNumber, isFlag, isText, nullOr, optional } = checks;

/** A number that earlier versions stored as null if it was infinite. */
const isLooseNumber = nullOr(isFiniteNumber);

/** Fields of a step that earlier versions did not store are optional. */
const isStep = checks.fieldsOf({
  count: isCount,
  cpuMillis: isFiniteNumber,
  memoryMb: isFiniteNumber,
  accelerators: isFiniteNumber,
  estimateMs: isLooseNumber,
  after: checks.listOf(isCount),
  checkpoints: optional(isFlag),
  gang: optional(isFlag),
  sameRack: optional(isFlag),
  label: optional(nullOr(isText)),
  rack: optional(nullOr(isText)),
  perWorker: optional(isCount),
  duplicates: optional(isFlag),
  lasting: optional(isFlag),
  image: optional(isText),
  latencyTargetMs: optional(isLooseNumber),
  fills: optional(isFlag),
  mayMiss: optional(isCount),
});

const isAdvice = checks.fieldsOf({
  decisionMs: isFiniteNumber,
  perWorkerMs: isFiniteNumber,
  validityMs: isFiniteNumber,
});

const SPEC_CHECKS = {
  id: isText,
  tenant: isText,
  policy: checks.fieldsOf({
    queue: isText,
    service: isText,
    priority: isCount,
    attempts: isCount,
    stretch: isFiniteNumber,
    latencyMs: isFiniteNumber,
    advice: optional(nullOr(isAdvice)),
  }),
  configVersion: optional(isCount),
  payload: isText,
  steps: checks.listOf(isStep),
  schedule: nullOr(checks.fieldsOf({
    firstAtMs: isLooseNumber,
    everyMs: isLooseNumber,
    rounds: (rounds) => isCount(rounds) && rounds >= 1,
  })),
  acceptedAtMs: isFiniteNumber,
};

/** Decodes the stored specification of a workflow; null if it is not one. */
export function decodeSpec(
  value: unknown,
  id: string,
): spec.WorkflowSpec | null {
  if (!checks.isFields(value)) return null;
  if (checks.findWrongField(value, SPEC_CHECKS) !== null) return null;
  const stored = value as unknown as spec.WorkflowSpec;
  if (stored.id !== id) return null;
  // The work of a workflow that has ended is removed.
  if (stored.steps.length === 0) return stored;
  const { schedule } = stored;
  const steps = stored.steps.map(spec.createStep);
  const invalidField = checkSteps.findInvalidField(steps, schedule);
  return invalidField === null ? { ...stored, steps } : null;
}
