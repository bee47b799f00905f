/**
 * Relative speeds of endpoints in fleets where they differ widely. Runs of one step are
 * normalised by the known speeds of their endpoints; otherwise a step that runs only on
 * slow endpoints would make them appear usual.
 */
import type * as speeds from "./endpoint_speeds.ts";

/** Rates of the runs of one step so far. */
export interface StepRates {
  readonly all: readonly speeds.RunRate[];
  /** Those that were not compared before. */
  readonly fresh: readonly speeds.RunRate[];
  /** Rate on a usual endpoint by the corrected estimate, in percent per millisecond. */
  readonly expectedRate: number;
}

/** Newest comparisons that are kept, so that an outdated speed drops out with them. */
const MAX_RATIOS = 9;
/** Comparisons from which on a speed counts as known. */
const MIN_RATIOS_KNOWN = 2;
/** Comparisons from which on a speed is reliable: tasks of a step differ by a third. */
const MIN_RATIOS_CONFIDENT = 3;
/**
 * Minimum number of runs on endpoints of known speed to use only these as reference.
 */
const MIN_KNOWN_RUNS = 3;
/** Ratios outside of these bounds indicate a fault or an unusual task, not a speed. */
const MIN_RATIO = 0.3;
const MAX_RATIO = 3;

/** Speeds of endpoints; 1 is the usual one. */
export class UnevenSpeeds {
  readonly #ratios = new Map<string, number[]>();
  readonly #speeds = new Map<string, number>();

  /** Speed of an endpoint; 1 without samples. */
  of(endpoint: string): number {
    return this.#speeds.get(endpoint) ?? 1;
  }

  /** Speed of an endpoint; 1 until there are enough comparisons. */
  confidentOf(endpoint: string): number {
    const count = this.#ratios.get(endpoint)?.length ?? 0;
    return count >= MIN_RATIOS_CONFIDENT ? this.of(endpoint) : 1;
  }

  /** Compares runs of one step with each other and with their estimate. */
  compare({ all, fresh, expectedRate }: StepRates): void {
    const known = all.filter(({ endpoint }) => this.#isKnown(endpoint));
    const compared = known.length >= MIN_KNOWN_RUNS ? known : all;
    const usual = medianOf([
      ...compared.map(({ endpoint, rate }) => rate / this.of(endpoint)),
      expectedRate,
    ]);
    if (!(usual > 0)) return;
    for (const { endpoint, rate } of fresh) this.#note(endpoint, rate / usual);
  }

  /** Drops the samples of an endpoint that is gone. */
  remove(endpoint: string): void {
    this.#ratios.delete(endpoint);
    this.#speeds.delete(endpoint);
  }

  #isKnown(endpoint: string): boolean {
    return (this.#ratios.get(endpoint)?.length ?? 0) >= MIN_RATIOS_KNOWN;
  }

  /**
   * Adds a comparison. The usual speed counts as one sample, which halves the effect of
   * the first comparison.
   */
  #note(endpoint: string, ratio: number): void {
    if (!(ratio >= MIN_RATIO && ratio <= MAX_RATIO)) return;
    const ratios = [...this.#ratios.get(endpoint) ?? [], ratio]
      .slice(-MAX_RATIOS);
    this.#ratios.set(endpoint, ratios);
    this.#speeds.set(endpoint, medianOf([...ratios, 1]));
  }
}

/** Median, or the mean of the two middle values; NaN for an empty list. */
function medianOf(numbers: readonly number[]): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  const half = (sorted.length - 1) / 2;
  return (sorted[Math.floor(half)] + sorted[Math.ceil(half)]) / 2;
}
