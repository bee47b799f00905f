/** The capacity forecast that a coordinator publishes. */
import type * as Workflow from "@cairngate/workflow";

/**
 * Starts of the spans of a forecast, in ms after it was made. Spans are short at
 * first because work with a short objective depends on the next seconds. A rejected
 * caller retries when a span begins that has free capacity, so long spans cause a
 * few failed retries.
 */
export const SPAN_STARTS_MS: readonly number[] = [
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

/** Time in ms after which nothing is predicted and all capacity counts as free. */
export const HORIZON_MS = 60_000;

/**
 * Fraction of an estimate that work certainly takes: users report that the
 * estimates of callers are off by half.
 */
export const MIN_ESTIMATE_FACTOR = 0.5;

/**
 * Age in ms above which a forecast is ignored: six due updates are missing by then.
 */
export const STALE_MS = 3000;

/** The highest free capacity within each span. */
export type CapacityCurve = readonly Workflow.Resources[];

/** Capacity for new work of one priority. */
export interface PriorityCapacity {
  readonly priority: number;
  /** Capacity if the work comes before all waiting work of its priority. */
  readonly first: CapacityCurve;
  /** Capacity if the work comes after all waiting work of its priority. */
  readonly last: CapacityCurve;
  /** Latest objective of that waiting work, in ms after the forecast was made. */
  readonly lastDueMs: number;
}

/** Capacity of the endpoints of one service. */
export interface ServiceForecast {
  readonly service: string;
  /** Largest amount of each resource seen on one endpoint. */
  readonly largest: Workflow.Resources;
  /** Largest amount of each resource seen in one rack. */
  readonly largestRack: Workflow.Resources;
  /** Largest amount of each resource seen on all endpoints together. */
  readonly total: Workflow.Resources;
  /** Speed of the fastest endpoint, where 1 is normal. */
  readonly fastest: number;
  readonly room: readonly PriorityCapacity[];
}

/** A forecast of one coordinator for all services. */
export interface Forecast {
  /** Identifies the forecast; the same one is published several times. */
  readonly number: number;
  /** Number of boxes that accept work by this forecast. */
  readonly boxes: number;
  /** Factor by which a gang is slower on several racks than on one. */
  readonly remotePenalty: number;
  readonly services: readonly ServiceForecast[];
  /**
   * Accelerators that the urgent work of each team certainly uses until this
   * forecast is stale.
   */
  readonly urgentUse: readonly (readonly [team: string, used: number])[];
}
