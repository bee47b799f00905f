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

/** Whether there is hard load of any kind. */
export function isHard(load: HardLoad | undefined): boolean {
  return load !== undefined && (load.teamsCompete || load.endpointsDiffer);
}

/**
 * The largest team has paid for this many times what teams pay for on average: with
 * that much more work in the queue it can push all others back, although each of them
 * asks for little.
 */
const LARGE_TEAM = 2;

/** Whether some team has paid for so much more than the others that they compete. */
export function haveLargeTeam(
  guarantees: ReadonlyMap<string, number>,
): boolean {
  const paid = [...guarantees.values()].filter((one) => one > 0);
  if (paid.length < 2) return false;
  const mean = paid.reduce((sum, one) => sum + one, 0) / paid.length;
  return Math.max(...paid) >= LARGE_TEAM * mean;
}

/** Shares of the endpoints that are left out as the fastest and the slowest ones. */
const LEFT_OUT_SHARE = 0.1;

/** How many times as fast the fast endpoints are as the slow ones. */
export function speedSpread(speeds: readonly number[]): number {
  if (speeds.length === 0) return 1;
  const sorted = [...speeds].sort((a, b) => a - b);
  const skip = Math.floor(sorted.length * LEFT_OUT_SHARE);
  return sorted[sorted.length - 1 - skip] / Math.max(sorted[skip], 1e-3);
}

/** Endpoints differ from this spread on; work then misses its objective by its place. */
const SPREAD_BEGINS = 1.5;
/** Hysteresis: learned speeds vary a little, and decisions must not change with them. */
const SPREAD_ENDS = 1.35;

/** Whether endpoints differ in speed, after a time in which they did or did not. */
export function doEndpointsDiffer(spread: number, didBefore: boolean): boolean {
  return spread >= (didBefore ? SPREAD_ENDS : SPREAD_BEGINS);
}
