/**
 * Decides whether the coordinator has memory for one more workflow. Accepted workflows
 * stay in its memory until they are removed, and its successor reads all of them, so
 * what all boxes accept together is bounded.
 */

/** Memory that the coordinator's workflows take. */
export interface MemoryUse {
  /** Share of the limit that accepted workflows take. */
  readonly heldShare: number;
  /** Share of the limit that removed workflows have freed in the last minute. */
  readonly freedShare: number;
}

/** Memory use that the coordinator published with its newest renewal. */
export interface KnownMemoryUse {
  /** Null if it is too low to be published. */
  readonly use: MemoryUse | null;
  /** Monotonic time at which this box noted the renewal. */
  readonly notedAtMs: number;
}

/** A workflow that asks for memory. */
export interface MemoryRequest {
  readonly neededBytes: number;
  /** Memory for all accepted workflows, in bytes. */
  readonly limitBytes: number;
  /** Use as last published; null if it is below `MIN_PUBLISHED_SHARE`. */
  readonly use: MemoryUse | null;
  /** Memory of workflows accepted since then, in bytes. */
  readonly reservedBytes: number;
}

/** Share of the limit from which the coordinator publishes its use. */
export const MIN_PUBLISHED_SHARE = 0.25;

/**
 * Multiple of its need that must be free for a workflow: large ones are rejected first,
 * and small ones are still accepted beside them.
 */
const MIN_FREE_FACTOR = 64;
const MIN_RETRY_AFTER_MS = 1000;
/** Retry delay while nothing is freed, in ms. */
const MAX_RETRY_AFTER_MS = 60_000;
const MINUTE_MS = 60_000;

/**
 * Returns the time until a rejected workflow may find enough memory, in ms; null if it
 * is accepted.
 */
export function findMemoryWaitMs(request: MemoryRequest): number | null {
  const { neededBytes, limitBytes, use, reservedBytes } = request;
  const heldShare = use?.heldShare ?? MIN_PUBLISHED_SHARE;
  const freeBytes = limitBytes * (1 - heldShare) - reservedBytes;
  const missingBytes = neededBytes * MIN_FREE_FACTOR - freeBytes;
  if (missingBytes <= 0) return null;
  const freedBytesPerMs = limitBytes * (use?.freedShare ?? 0) / MINUTE_MS;
  const waitMs = missingBytes / freedBytesPerMs;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
