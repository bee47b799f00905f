/**
 * Which kinds of hard load a deployment has. The decisions for them are made only
 * there; everywhere else work is planned as if they did not exist.
 */

/** Kinds of hard load. */
export interface HardLoad {
  /** Teams of very different size compete for the same room. */
  readonly teamsCompete: boolean;
  /** Endpoints differ so much in speed that the same work takes far longer on some. */
  readonly endpointsDiffer: boolean;
}

/** No hard load of any kind. */
export const NO_HARD_LOAD: HardLoad = {
  teamsCompete: false,
  endpointsDiffer: false,
};

/**
 * The largest team has paid for this many times what teams pay for on average: with
 * that much more work in the queue it can push all others back, although each of them
 * asks for little.
 */
const LARGE_TEAM_FACTOR = 2;

/** Whether some team has paid for so much more than the others that they compete. */
export function haveLargeTeam(
  guarantees: ReadonlyMap<string, number>,
): boolean {
  const paid = [...guarantees.values()].filter((one) => one > 0);
  if (paid.length < 2) return false;
  const mean = paid.reduce((sum, one) => sum + one, 0) / paid.length;
  return Math.max(...paid) >= LARGE_TEAM_FACTOR * mean;
}

/** Shares of the endpoints that are left out as the fastest and the slowest ones. */
const OUTLIER_SHARE = 0.1;

/** How many times as fast the fast endpoints are as the slow ones. */
export function speedSpread(speeds: readonly number[]): number {
  if (speeds.length === 0) return 1;
  const sorted = [...speeds].sort((a, b) => a - b);
  const outlierCount = Math.floor(sorted.length * OUTLIER_SHARE);
  return sorted[sorted.length - 1 - outlierCount] /
    Math.max(sorted[outlierCount], 1e-3);
}

/** Endpoints differ from this spread on; work then misses its objective by its place. */
const UNEVEN_FROM_SPREAD = 1.5;
/** Hysteresis: learned speeds vary a little, and decisions must not change with them. */
const EVEN_BELOW_SPREAD = 1.35;

/** Whether endpoints differ in speed, after a time in which they did or did not. */
export function doEndpointsDiffer(spread: number, didDiffer: boolean): boolean {
  return spread >= (didDiffer ? EVEN_BELOW_SPREAD : UNEVEN_FROM_SPREAD);
}
