/**
 * Stores gang runs whose failure is counted, so that a run of a gang fails only
 * once even if the next coordinator gets the failure again from another member.
 */
import type * as workflows from "./workflow.ts";

/** Counted failures of gang runs, as stored. */
export interface FailedRunsRecord {
  /**
   * Runs whose members may still report their failure, by `round.step`. Omitted if
   * there are none, or by earlier versions.
   */
  readonly failedRuns?: Readonly<Record<string, number>>;
}

/** Lists the counted runs whose failure may still be reported. */
export function listFailedRuns(
  workflow: workflows.Workflow,
): FailedRunsRecord {
  const placedRuns = new Set(
    workflow.placedTasks().map(({ stepKey, run }) => `${stepKey}.${run}`),
  );
  const failedRunEntries = workflow.failureCounts.newestFailedRuns
    .filter(([stepKey, run]) => placedRuns.has(`${stepKey}.${run}`));
  return failedRunEntries.length === 0
    ? {}
    : { failedRuns: Object.fromEntries(failedRunEntries) };
}

/** Restores the counted runs of a record. */
export function applyFailedRuns(
  { failureCounts }: workflows.Workflow,
  { failedRuns = {} }: FailedRunsRecord,
): void {
  for (const [stepKey, run] of Object.entries(failedRuns)) {
    failureCounts.markFailedRun(stepKey, run);
  }
}
