/** Computes the leases that a coordinator hands over with its term. */
import type * as remainingLeases from "../election/remaining_leases.ts";
import type * as earlierLeases from "./earlier_leases.ts";
import type * as sessions from "./endpoint_session.ts";

/** Limit of the endpoints whose leases are handed over: 8 KB in the row. */
const MAX_ENDPOINTS = 200;

/** An endpoint and the time by which all of its leases have expired. */
export type LeaseEnd = readonly [endpoint: string, endMs: number];

/** What a term knows of the leases of its endpoints. */
export interface KnownLeases {
  readonly sessions: Iterable<
    Pick<sessions.EndpointSession, "ref" | "isReachable" | "leaseEndMs">
  >;
  readonly earlier: earlierLeases.EarlierLeases;
}

/** Collects the ends of leases at endpoints that get no more, as they do not answer. */
export function collectLeaseEnds(
  { sessions, earlier }: KnownLeases,
): LeaseEnd[] {
  const all = [...sessions];
  const open = new Set(all.map(({ ref }) => ref.id));
  const unopened = [...earlier.inherited].filter(([id]) =>
    !open.has(id) && !earlier.hadSession(id)
  );
  const silent = all.filter(({ isReachable }) => !isReachable)
    .map(({ ref, leaseEndMs }): LeaseEnd => [ref.id, leaseEndMs]);
  return [...unopened, ...silent];
}

/** Lists the remaining leases; an endpoint with several ends has the latest one. */
export function listRemainingLeases(
  leaseEnds: Iterable<LeaseEnd>,
  nowMs: number,
): remainingLeases.RemainingLeases {
  const remainingMs = new Map<string, number>();
  for (const [id, endMs] of leaseEnds) {
    const previousMs = remainingMs.get(id);
    if (previousMs === undefined && remainingMs.size >= MAX_ENDPOINTS) continue;
    const leftMs = Math.max(0, Math.ceil(endMs - nowMs));
    remainingMs.set(id, Math.max(leftMs, previousMs ?? 0));
  }
  return Object.fromEntries(remainingMs);
}
