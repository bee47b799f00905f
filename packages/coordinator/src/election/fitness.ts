/** Fitness of a box to coordinate, compared with the other boxes that it knows. */
import type * as Effect from "effect/Effect";

/** Answers the election's questions about this box and the others. */
export abstract class Fitness {
  /** Whether calls reach the store without a relaying peer. */
  abstract hasDirectStoreAccess(): boolean;
  /** Whether other boxes are known that have clearly more processor cores. */
  abstract hasFitterBox(): boolean;
  /** Whether this box is among the few that follow each renewal of a term. */
  abstract isCloseWatcher(): boolean;
  /**
   * Finds a box with clearly more cores that answers now and reaches the store; null
   * for none.
   */
  abstract findFitterBox(): Effect.Effect<string | null>;
  /** Finds the box that should take over when this one leaves; null for none. */
  abstract findSuccessor(): Effect.Effect<string | null>;
}

/**
 * Delay of claims by boxes that know of a fitter one, in ms; longer than the random
 * jitter between candidates.
 */
const LESS_FIT_DELAY_MS = 400;
/**
 * Additional delay of claims by boxes that reach the store only through a peer, in ms:
 * another box does as well without a relay.
 */
const RELAYED_DELAY_MS = 1500;

/** Delay of this box's claims relative to the fittest box, in ms. */
export function claimDelayMs(fitness: Fitness): number {
  const fitterMs = fitness.hasFitterBox() ? LESS_FIT_DELAY_MS : 0;
  return fitness.hasDirectStoreAccess()
    ? fitterMs
    : fitterMs + RELAYED_DELAY_MS;
}
