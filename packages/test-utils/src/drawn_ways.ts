/** Times of orders on their ways, so that answers overtake one another. */
import type * as StandIns from "@cairngate/stand-ins";
import * as randoms from "./seeded_random.ts";

/** Times that a network takes one way, in ms. */
const QUICK_MS = { least: 1, most: 10 };
/**
 * The same for a box or an endpoint that has other work: under half of what an order
 * may take there and back, 450 ms, so that none is lost by it.
 */
const SLOW_MS = { least: 10, most: 200 };
/** Share of the ways that are slow, 0 to 1. */
const SLOW_SHARE = 0.15;
/** Share of the orders on their way at a reset that arrive after it, 0 to 1. */
const ARRIVES_SHARE = 0.5;
/** By when they have arrived, in ms after the reset. */
const AFTER_RESET_MS = 300;

/** Draws the times of one play. */
export function drawWays(seed: number): StandIns.WayTimes {
  const random = new randoms.SeededRandom(seed);
  const drawMs = () => {
    const { least, most } = random.next() < SLOW_SHARE ? SLOW_MS : QUICK_MS;
    return random.between(least, most);
  };
  return {
    thereMs: drawMs,
    backMs: drawMs,
    afterResetMs: () =>
      random.next() < ARRIVES_SHARE ? random.between(0, AFTER_RESET_MS) : null,
  };
}
