/**
 * Leases of silent endpoints that are left when a term is released. The next holder
 * would otherwise have to assume that each was renewed right before its term.
 */

/** Remaining times of leases by endpoint, in ms. */
export type RemainingLeases = Readonly<Record<string, number>>;

/** Remaining leases and the monotonic time by which they counted at the latest. */
export interface InheritedLeases {
  readonly leases: RemainingLeases;
  readonly readAtMs: number;
}

/** Decodes remaining leases of a row; null where it has none that are valid. */
export function decodeRemainingLeases(value: unknown): RemainingLeases | null {
  if (typeof value !== "object" || value === null) return null;
  return Object.values(value).every(isDuration)
    ? value as RemainingLeases
    : null;
}

function isDuration(value: unknown): value is number {
  return Number.isFinite(value) && Number(value) >= 0;
}
