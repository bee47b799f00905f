/** How well a box is placed to coordinate, beside the others that it knows. */
import type * as Effect from "effect/Effect";

/** What the election asks of its box. */
export abstract class Fitness {
  /** Whether calls reach the store without a peer's help. */
  abstract reachesStore(): boolean;
  /** Whether other boxes are known that have clearly more processor. */
  abstract hasFitter(): boolean;
  /** Whether this box is among the few that follow each renewal of a term. */
  abstract isCloseWatcher(): boolean;
  /** Such a box that answers now and reaches the store; null for none. */
  abstract findFitter(): Effect.Effect<string | null>;
  /** The box that should follow when this one leaves; null for none. */
  abstract findSuccessor(): Effect.Effect<string | null>;
}

/**
 * Time in which boxes with more processor claim a term before the others, in ms;
 * longer than what candidates differ by at random.
 */
const LESS_FIT_DELAY_MS = 400;
/**
 * A box whose calls take the way through a peer claims a term later by this, in
 * ms: another one is as good and does without the peer.
 */
const RELAYED_DELAY_MS = 1500;

/** How much later than the fittest box this one claims a term, in ms. */
export function claimDelayMs(fitness: Fitness): number {
  const fitterMs = fitness.hasFitter() ? LESS_FIT_DELAY_MS : 0;
  return fitness.reachesStore() ? fitterMs : fitterMs + RELAYED_DELAY_MS;
}
