/**
 * How fast endpoints are where they differ much. Runs of one step are compared by what
 * is known of their endpoints already: a step that runs on slow ones alone would else
 * make them look like usual ones.
 */
import type * as speeds from "./endpoint_speeds.ts";

/** Runs of one step, as far as they have come. */
export interface StepRates {
  readonly all: readonly speeds.RunRate[];
  /** Those that were not compared before. */
  readonly fresh: readonly speeds.RunRate[];
  /** Rate on a usual endpoint by the corrected estimate, percent per millisecond. */
  readonly expectedRate: number;
}

/** Newest comparisons that are kept: a speed that has turned is forgotten with them. */
const MAX_RATIOS = 9;
/** Comparisons from which on a speed counts as known. */
const MIN_RATIOS_KNOWN = 2;
/** Comparisons from which on it is sure: tasks of a step differ by a third. */
const MIN_RATIOS_CONFIDENT = 3;
/** Endpoints of known speed that can stand for the others. */
const MIN_KNOWN_RUNS = 3;
/** A run that is this much off says more about a fault, or its task, than of speed. */
const MIN_RATIO = 0.3;
const MAX_RATIO = 3;

/** Speeds of endpoints; 1 is the usual one. */
export class UnevenSpeeds {
  readonly #ratios = new Map<string, number[]>();
  readonly #speeds = new Map<string, number>();

  /** Speed of an endpoint; 1 where nothing is known. */
  of(endpoint: string): number {
    return this.#speeds.get(endpoint) ?? 1;
  }

  /** The same, but 1 until enough comparisons tell that it is another. */
  confidentOf(endpoint: string): number {
    const count = this.#ratios.get(endpoint)?.length ?? 0;
    return count >= MIN_RATIOS_CONFIDENT ? this.of(endpoint) : 1;
  }

  /** Compares runs of one step with each other and with their estimate. */
  compare({ all, fresh, expectedRate }: StepRates): void {
    const known = all.filter(({ worker }) => this.#isKnown(worker));
    const compared = known.length >= MIN_KNOWN_RUNS ? known : all;
    const usual = medianOf([
      ...compared.map(({ worker, rate }) => rate / this.of(worker)),
      expectedRate,
    ]);
    if (!(usual > 0)) return;
    for (const { worker, rate } of fresh) this.#note(worker, rate / usual);
  }

  /** Drops what is known of an endpoint that has gone. */
  remove(endpoint: string): void {
    this.#ratios.delete(endpoint);
    this.#speeds.delete(endpoint);
  }

  #isKnown(endpoint: string): boolean {
    return (this.#ratios.get(endpoint)?.length ?? 0) >= MIN_RATIOS_KNOWN;
  }

  /** The usual speed counts as one comparison, so that the first says only half. */
  #note(endpoint: string, ratio: number): void {
    if (!(ratio >= MIN_RATIO && ratio <= MAX_RATIO)) return;
    const ratios = [...this.#ratios.get(endpoint) ?? [], ratio]
      .slice(-MAX_RATIOS);
    this.#ratios.set(endpoint, ratios);
    this.#speeds.set(endpoint, medianOf([...ratios, 1]));
  }
}

/** The middle one, or the mean of the two in the middle; NaN of none. */
function medianOf(numbers: readonly number[]): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  const half = (sorted.length - 1) / 2;
  return (sorted[Math.floor(half)] + sorted[Math.ceil(half)]) / 2;
}
