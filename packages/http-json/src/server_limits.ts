/** Limits of an HTTP server, derived from the machine that it runs on. */

import type * as requests from "./request_limit.ts";

/** What a machine grants to a process. */
export interface MachineLimits {
  readonly memoryMb: number;
  /** File descriptors, sockets among them. */
  readonly maxFds: number;
}

/** Limits of all requests of a server together. */
export interface ServerLimits extends requests.RequestLimits {
  /** Memory for request bodies, in bytes. */
  readonly bodyBytes: number;
  readonly connections: number;
}

/** The machine that is assumed where none is described. */
export const DEFAULT_MACHINE: MachineLimits = { memoryMb: 350, maxFds: 4100 };

/**
 * Share of the memory for bodies. The heap takes most of the rest; an eighth of 350 MB
 * holds 15,000 bytes for each of 2,900 connections.
 */
const BODY_SHARE = 1 / 8;
const BYTES_PER_MB = 1_000_000;
/** Requests under way for each MB: one takes some tens of kB of heap beside its body. */
const REQUESTS_PER_MB = 6;
/** Share of the requests under way that may be sent ahead on their connections. */
const AHEAD_SHARE = 1 / 8;
/** File descriptors for anything but sockets. */
const FILE_FDS = 200;
/** Share of the sockets for callers; the rest is for calls of the box and its peers. */
const CALLERS_SHARE = 3 / 4;

/** Derives the limits of a server. */
export function deriveServerLimits(
  { memoryMb, maxFds }: MachineLimits,
): ServerLimits {
  const requestCount = Math.ceil(memoryMb * REQUESTS_PER_MB);
  return {
    bodyBytes: memoryMb * BYTES_PER_MB * BODY_SHARE,
    connections: Math.max(1, (maxFds - FILE_FDS) * CALLERS_SHARE),
    requests: requestCount,
    requestsAhead: requestCount * AHEAD_SHARE,
  };
}
