/** What a forecast of room holds. */
import type * as Workflow from "@cairngate/workflow";

/**
 * Moments at which the spans of a forecast begin, in ms after it was made. They are
 * close at first, as work with a short objective is judged by the next seconds. A
 * caller comes back when a span begins in which there is room: in long spans it comes
 * in vain a few times.
 */
export const POINTS_MS: readonly number[] = [
  0,
  1000,
  2000,
  3000,
  4000,
  6000,
  8000,
  11_000,
  15_000,
  20_000,
  30_000,
];

/** From here on nothing is known: all room counts as free, in ms. */
export const HORIZON_MS = 60_000;

/**
 * Share of an estimate that work surely takes. Callers guess, and the users say that
 * their guesses are off by half.
 */
export const SURE_SHARE = 0.5;

/** A forecast older than this is none, in ms: six that were due did not come. */
export const STALE_MS = 3000;

/** Most room that is free at some moment of each span. */
export type RoomCurve = readonly Workflow.Resources[];

/** Room for new work of one priority. */
export interface RoomAhead {
  readonly priority: number;
  /** Where it comes before all of its priority that waits. */
  readonly first: RoomCurve;
  /** Where it comes after all of its priority that waits. */
  readonly last: RoomCurve;
  /** Time by which the last one of those should end, in ms after it was made. */
  readonly lastDueMs: number;
}

/** Room on the endpoints of one service. */
export interface ServiceForecast {
  readonly service: string;
  /** Most of each resource on one endpoint, as far as was seen. */
  readonly largest: Workflow.Resources;
  /** The same for one rack. */
  readonly largestRack: Workflow.Resources;
  /** The same for all endpoints together. */
  readonly total: Workflow.Resources;
  /** Speed of the fastest endpoint; 1 is the usual one. */
  readonly fastest: number;
  readonly room: readonly RoomAhead[];
}

/** What a coordinator expects. */
export interface Forecast {
  /** Tells it from the one before: a forecast is told several times. */
  readonly number: number;
  /** Boxes that accept work by it. */
  readonly boxes: number;
  /** How much slower a gang runs on several racks. */
  readonly remotePenalty: number;
  readonly services: readonly ServiceForecast[];
  /** Accelerators that urgent work of teams surely uses until this is stale. */
  readonly urgentUse: readonly (readonly [team: string, used: number])[];
}
