/** The newest forecast that the holder of the election tells of. */
import * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as leases from "./lease_value.ts";

/** Sees renewals as they come. */
export class ForecastSight {
  readonly #clock: Ports.Clock;
  #renewal: unknown = null;
  #forecast: Admission.Forecast | null = null;
  #madeAtMs = Number.NEGATIVE_INFINITY;
  #notedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** The forecast and its age. */
  get known(): Admission.Known {
    const ageMs = this.#clock.monotonicMs() - this.#madeAtMs;
    return { forecast: this.#forecast, ageMs };
  }

  /**
   * Takes in the value of a renewal. One that no other has preceded by less than the
   * time for which a forecast holds may be of a holder that is long gone: its
   * forecast counts as too old.
   * @param lookedAtMs when the look began that told of it
   */
  note(renewal: unknown, lookedAtMs: number): void {
    if (renewal === this.#renewal) return;
    const isFirst = lookedAtMs - this.#notedAtMs > Admission.STALE_MS;
    this.#renewal = renewal;
    this.#notedAtMs = this.#clock.monotonicMs();
    const told = leases.readLease(renewal);
    this.#forecast = told?.forecast ?? null;
    this.#madeAtMs = told === null || isFirst
      ? Number.NEGATIVE_INFINITY
      : lookedAtMs - told.ageMs;
  }
}
