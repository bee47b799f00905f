/**
 * Detects hard load: competing teams and endpoints of uneven speed. The planner applies
 * the rules for a kind of hard load only in deployments that have it.
 */

/** Kinds of hard load that a deployment has. */
export interface HardLoad {
  /** Teams of very different size compete for the same capacity. */
  readonly teamsCompete: boolean;
  /** Endpoint speeds differ so much that the same work takes far longer on some. */
  readonly endpointsDiffer: boolean;
}

/** No hard load of any kind. */
export const NO_HARD_LOAD: HardLoad = {
  teamsCompete: false,
  endpointsDiffer: false,
};

/**
 * Teams compete if the largest has paid for this many times the average: its queued
 * work can then delay all other teams, although each of them asks for little.
 */
const LARGE_TEAM_FACTOR = 2;

/** Whether one team has paid for so much more than the others that they compete. */
export function hasDominantTeam(
  guarantees: ReadonlyMap<string, number>,
): boolean {
  const paid = [...guarantees.values()].filter((one) => one > 0);
  if (paid.length < 2) return false;
  const mean = paid.reduce((sum, one) => sum + one, 0) / paid.length;
  return Math.max(...paid) >= LARGE_TEAM_FACTOR * mean;
}

/** Share of the endpoints that is ignored at either end of the speeds. */
const OUTLIER_SHARE = 0.1;

/** Ratio of the speeds of fast and slow endpoints, without outliers. */
export function speedSpread(speeds: readonly number[]): number {
  if (speeds.length === 0) return 1;
  const sorted = [...speeds].sort((a, b) => a - b);
  const outlierCount = Math.floor(sorted.length * OUTLIER_SHARE);
  return sorted[sorted.length - 1 - outlierCount] /
    Math.max(sorted[outlierCount], 1e-3);
}

/** From this spread on, work can miss its objective because of where it runs. */
const UNEVEN_FROM_SPREAD = 1.5;
/** Lower than the start, so that noise in measured speeds does not flip decisions. */
const EVEN_BELOW_SPREAD = 1.35;

/** Whether endpoints differ in speed, with hysteresis on the previous answer. */
export function doEndpointsDiffer(spread: number, didDiffer: boolean): boolean {
  return spread >= (didDiffer ? EVEN_BELOW_SPREAD : UNEVEN_FROM_SPREAD);
}
