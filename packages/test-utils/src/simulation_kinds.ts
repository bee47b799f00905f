/** Kinds of random fault simulations, and the seeds that are known to fail. */
import type * as simulations from "./random_fault_simulation.ts";

/** Fault options by kind of simulation; each kind has its own tests. */
export const SIMULATION_KINDS = {
  usual: {},
  rooms: { changesCapacity: true },
  lapses: { cutsEndpoints: true, foreignEntries: true, crashesInGroups: true },
  suspensions: { suspends: true },
  handOvers: { handsOver: true, cutsEndpoints: true },
  rebirths: { restartsEndpoints: true },
  slowEnds: { delaysEnds: true },
  slowEndsAndCuts: {
    delaysEnds: true,
    cutsEndpoints: true,
    foreignEntries: true,
    restartsEndpoints: true,
  },
  failures: { failsOften: true, delaysEnds: true, suspends: true },
  failuresAndRebirths: {
    failsOften: true,
    delaysEnds: true,
    restartsEndpoints: true,
    cutsEndpoints: true,
  },
  schedules: { schedules: true, handsOver: true },
  hardLoad: { hasHardLoad: true },
  hardLoadAndCuts: {
    hasHardLoad: true,
    cutsEndpoints: true,
    delaysEnds: true,
    suspends: true,
  },
  rebirthsAndCuts: {
    restartsEndpoints: true,
    cutsEndpoints: true,
    suspends: true,
  },
} satisfies Record<string, simulations.FaultOptions>;

/** A simulation that is known to fail. */
export interface UnresolvedFailure {
  readonly name: keyof typeof SIMULATION_KINDS;
  readonly seed: number;
  readonly kinds: simulations.FaultOptions;
}

/**
 * Simulations that are known to fail and that the usual tests skip. A test of its
 * cause, listed in KNOWN-RED.txt, has to cover each of them.
 */
export const UNRESOLVED_FAILURES: readonly UnresolvedFailure[] = [];

/** Whether a simulation is known to fail. */
export function isUnresolvedFailure(
  name: keyof typeof SIMULATION_KINDS,
  seed: number,
): boolean {
  return UNRESOLVED_FAILURES.some((one) =>
    one.name === name && one.seed === seed
  );
}
