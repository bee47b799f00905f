/**
 * Runs of gangs whose failure is counted, for the record: a run of a gang fails once,
 * also where the next coordinator hears of it again from another member.
 */
import type * as workflows from "./workflow.ts";

/** Such runs as they are recorded. */
export interface FailedRunsRecord {
  /**
   * Those of which members may still be there and tell their failure, by
   * `round.step`. Left out: there are none, or an earlier version wrote.
   */
  readonly failedRuns?: Readonly<Record<string, number>>;
}

/** Lists them. */
export function listFailedRuns(
  { counts, steps }: workflows.Workflow,
): FailedRunsRecord {
  const failed = steps.flatMap(([stepKey, members]) => {
    const run = counts.failedRunOf(stepKey);
    if (run === null) return [];
    const mayBeTold = members.some((one) => one.isPlaced && one.run === run);
    return mayBeTold ? [[stepKey, run] as const] : [];
  });
  return failed.length === 0 ? {} : { failedRuns: Object.fromEntries(failed) };
}

/** Takes in those of a record. */
export function applyFailedRuns(
  { counts }: workflows.Workflow,
  { failedRuns = {} }: FailedRunsRecord,
): void {
  for (const [stepKey, run] of Object.entries(failedRuns)) {
    counts.noteFailedRun(stepKey, run);
  }
}
