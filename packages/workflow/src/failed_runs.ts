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
  { failureCounts, steps }: workflows.Workflow,
): FailedRunsRecord {
  const failedRunEntries = steps.flatMap(([stepKey, members]) => {
    const run = failureCounts.newestFailedRun(stepKey);
    if (run === null) return [];
    const mayBeReported = members.some((member) =>
      member.isPlaced && member.run === run
    );
    return mayBeReported ? [[stepKey, run] as const] : [];
  });
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
