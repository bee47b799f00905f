/** The newest forecast that the holder of the election publishes with its renewals. */
import * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as leases from "./lease_value.ts";

/** Observes renewals and decodes the forecast of the newest one on demand. */
export class ForecastObserver {
  readonly #clock: Ports.Clock;
  #renewal: unknown = null;
  /** When the feed request that returned it was sent; null where its age is unknown. */
  #requestedAtMs: number | null = null;
  /** The decoded value; undefined until it is requested. */
  #decoded: leases.AgedForecast | null | undefined = null;
  #notedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /**
   * The newest forecast and its age. Decoded on access, because few renewals are
   * accessed.
   */
  get latest(): Admission.KnownForecast {
    if (this.#decoded === undefined) {
      this.#decoded = leases.readLease(this.#renewal);
    }
    const ageMs = this.#decoded === null || this.#requestedAtMs === null
      ? Number.POSITIVE_INFINITY
      : this.#clock.monotonicMs() - this.#requestedAtMs + this.#decoded.ageMs;
    return { forecast: this.#decoded?.forecast ?? null, ageMs };
  }

  /**
   * Takes in the value of a renewal. If no other renewal preceded it within the time
   * for which a forecast is valid, its holder may be long gone, and its forecast counts
   * as too old.
   * @param requestedAtMs when the feed request that returned it was sent
   */
  note(renewal: unknown, requestedAtMs: number): void {
    if (renewal === this.#renewal) return;
    const isFirst = requestedAtMs - this.#notedAtMs > Admission.STALE_MS;
    this.#renewal = renewal;
    this.#notedAtMs = this.#clock.monotonicMs();
    this.#decoded = undefined;
    this.#requestedAtMs = isFirst ? null : requestedAtMs;
  }
}
