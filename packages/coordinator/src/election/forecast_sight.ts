/** The newest forecast that the holder of the election tells of. */
import * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as leases from "./lease_value.ts";

/** Sees renewals as they come. */
export class ForecastObserver {
  readonly #clock: Ports.Clock;
  #renewal: unknown = null;
  /** When the look began that told of it; null: it may be of any age. */
  #requestedAtMs: number | null = null;
  /** What it tells; undefined until somebody asks. */
  #decoded: leases.AgedForecast | null | undefined = null;
  #notedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** The forecast and its age. Few renewals are asked for: the others stay unread. */
  get latest(): Admission.Known {
    if (this.#decoded === undefined) {
      this.#decoded = leases.readLease(this.#renewal);
    }
    const ageMs = this.#decoded === null || this.#requestedAtMs === null
      ? Number.POSITIVE_INFINITY
      : this.#clock.monotonicMs() - this.#requestedAtMs + this.#decoded.ageMs;
    return { forecast: this.#decoded?.forecast ?? null, ageMs };
  }

  /**
   * Takes in the value of a renewal. One that no other has preceded by less than the
   * time for which a forecast holds may be of a holder that is long gone: its
   * forecast counts as too old.
   * @param requestedAtMs when the look began that told of it
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
