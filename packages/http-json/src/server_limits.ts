/** Limits of an HTTP server, derived from the machine that it runs on. */

/** What a machine grants to a process. */
export interface MachineLimits {
  readonly memoryMb: number;
  /** File descriptors, sockets among them. */
  readonly maxFds: number;
}

/** Limits of all requests of a server together. */
export interface ServerLimits {
  /** Memory for request bodies, in bytes. */
  readonly bodyBytes: number;
}

/** The machine that is assumed where none is described. */
export const DEFAULT_MACHINE: MachineLimits = { memoryMb: 350, maxFds: 4100 };

/**
 * Share of the memory for bodies. The heap takes most of the rest; an eighth of 350 MB
 * holds 15,000 bytes for each of 2,900 connections.
 */
const BODY_SHARE = 1 / 8;
const BYTES_PER_MB = 1_000_000;

/** Derives the limits of a server. */
export function deriveServerLimits(machine: MachineLimits): ServerLimits {
  return { bodyBytes: machine.memoryMb * BYTES_PER_MB * BODY_SHARE };
}
