/** Computes the leases that a coordinator hands over with its term. */
import type * as remainingLeases from "../election/remaining_leases.ts";
import type * as earlierLeases from "./earlier_leases.ts";
import type * as sessions from "./endpoint_session.ts";

/** Limit of the endpoints that are handed over one by one: 8 KB in the row. */
const MAX_ENDPOINTS = 200;

/** An endpoint and the time by which all of its leases have expired. */
export type LeaseEnd = readonly [endpoint: string, endMs: number];

/** Ends of leases once no more are granted. */
export interface LeaseEnds {
  /** At endpoints that do not answer, one by one. */
  readonly silent: readonly LeaseEnd[];
  /** At all other endpoints. */
  readonly others: readonly number[];
}

/** What a term knows of its leases. */
export interface KnownLeases {
  readonly sessions: Iterable<
    Pick<sessions.EndpointSession, "ref" | "isReachable" | "leaseEndMs">
  >;
  readonly earlier: earlierLeases.EarlierLeases;
  /** Time by which a lease that is granted now has expired. */
  readonly grantedUntilMs: number;
}

/** Collects the ends of all leases. */
export function collectLeaseEnds(known: KnownLeases): LeaseEnds {
  const { earlier, grantedUntilMs } = known;
  const open = new Map([...known.sessions].map((one) => [one.ref.id, one]));
  const ends = [...open.values()];
  const unopened = [...earlier.handedOver].filter(([id]) =>
    !open.has(id) && !earlier.hadSession(id)
  );
  const silent = ends.filter(({ isReachable }) => !isReachable)
    .map(({ ref, leaseEndMs }): LeaseEnd => [ref.id, leaseEndMs]);
  const answering = ends.filter(({ isReachable }) => isReachable)
    .map(({ leaseEndMs }) => leaseEndMs);
  return {
    silent: [...unopened, ...silent],
    others: [grantedUntilMs, earlier.lastEndMs, ...answering],
  };
}

/** Lists the remaining leases; an endpoint with several ends has the latest one. */
export function listRemainingLeases(
  { silent, others }: LeaseEnds,
  nowMs: number,
): remainingLeases.RemainingLeases {
  const ends = new Map<string, number>();
  let othersEndMs = Math.max(...others);
  for (const [id, endMs] of silent) {
    const isListed = ends.has(id) || ends.size < MAX_ENDPOINTS;
    if (!isListed) othersEndMs = Math.max(othersEndMs, endMs);
    else ends.set(id, Math.max(endMs, ends.get(id) ?? endMs));
  }
  const remainingMs = (endMs: number) => Math.max(0, Math.ceil(endMs - nowMs));
  const entries = [...ends].map(([id, endMs]) => [id, remainingMs(endMs)]);
  return {
    byEndpoint: Object.fromEntries(entries),
    othersMs: remainingMs(othersEndMs),
  };
}
