/**
 * Leases of endpoints that are left when a term is released. The next holder would
 * otherwise have to assume that each of them was renewed right before its term.
 */

/** Remaining times of leases, in ms. */
export interface RemainingLeases {
  /** By endpoint, for those that do not answer; their leases are not renewed. */
  readonly byEndpoint: Readonly<Record<string, number>>;
  /** The longest of all others. */
  readonly othersMs: number;
}

/** Remaining leases and the monotonic time by which they counted at the latest. */
export interface InheritedLeases {
  readonly leases: RemainingLeases;
  readonly readAtMs: number;
}

/** Decodes remaining leases of a row; null where it has none that are valid. */
export function decodeRemainingLeases(value: unknown): RemainingLeases | null {
  if (!isFields(value)) return null;
  const { byEndpoint, othersMs } = value;
  if (!isFields(byEndpoint) || !isDuration(othersMs)) return null;
  if (!Object.values(byEndpoint).every(isDuration)) return null;
  return { byEndpoint: byEndpoint as Record<string, number>, othersMs };
}

function isFields(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isDuration(value: unknown): value is number {
  return Number.isFinite(value) && Number(value) >= 0;
}
