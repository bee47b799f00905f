/** The newest forecast that the holder of the election tells of. */
import * as Admission from "@cairngate/admission";
import type * as Ports from "@cairngate/ports";
import * as leases from "./lease_value.ts";

/** Sees renewals as they come. */
export class ForecastSight {
  readonly #clock: Ports.Clock;
  #renewal: unknown = null;
  /** When the look began that told of it; null: it may be of any age. */
  #lookedAtMs: number | null = null;
  /** What it tells; undefined until somebody asks. */
  #told: leases.ToldForecast | null | undefined = null;
  #notedAtMs = Number.NEGATIVE_INFINITY;

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /** The forecast and its age. Few renewals are asked for: the others stay unread. */
  get known(): Admission.Known {
    if (this.#told === undefined) {
      this.#told = leases.readLease(this.#renewal);
    }
    const ageMs = this.#told === null || this.#lookedAtMs === null
      ? Number.POSITIVE_INFINITY
      : this.#clock.monotonicMs() - this.#lookedAtMs + this.#told.ageMs;
    return { forecast: this.#told?.forecast ?? null, ageMs };
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
    this.#told = undefined;
    this.#lookedAtMs = isFirst ? null : lookedAtMs;
  }
}
