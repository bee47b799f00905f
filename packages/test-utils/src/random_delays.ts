/** Random transit times of orders, so that answers overtake one another. */
import type * as StandIns from "@cairngate/stand-ins";
import * as randoms from "./seeded_random.ts";

/** Transit time of the network alone, one way, in ms. */
const FAST_MS = { min: 1, max: 10 };
/**
 * Transit time where a box or an endpoint is busy, one way, in ms: less than half of
 * the 450 ms that an order may take there and back, so that no order times out.
 */
const SLOW_MS = { min: 10, max: 200 };
/** Share of the transits that are slow, 0 to 1. */
const SLOW_SHARE = 0.15;
/** Share of the orders in flight at a reset that still arrive after it, 0 to 1. */
const LATE_ARRIVAL_SHARE = 0.5;
/** Longest time from a reset to such an arrival, in ms. */
const MAX_LATE_ARRIVAL_MS = 300;

/** Creates the random transit times of one simulation. */
export function drawDelays(seed: number): StandIns.TransitTimes {
  const random = new randoms.SeededRandom(seed);
  const drawMs = () => {
    const { min, max } = random.next() < SLOW_SHARE ? SLOW_MS : FAST_MS;
    return random.between(min, max);
  };
  return {
    drawOutboundMs: drawMs,
    drawReturnMs: drawMs,
    drawAfterResetMs: () =>
      random.next() < LATE_ARRIVAL_SHARE
        ? random.between(0, MAX_LATE_ARRIVAL_MS)
        : null,
  };
}
