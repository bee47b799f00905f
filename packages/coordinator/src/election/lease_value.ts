/**
 * The value that a holder writes with each renewal: a number, or, where it has a
 * forecast to tell, a text. Both compare by value, which is how each version of the
 * product tells one renewal from the next.
 */
import * as Admission from "@cairngate/admission";

/** What a renewal tells beside being one. */
export interface AgedForecast {
  readonly forecast: Admission.Forecast;
  /** Age that it had when it was sent, in ms. */
  readonly ageMs: number;
}

const SEPARATOR = " ";

/** Value of one renewal. */
export function writeLease(
  renewedAtMs: number,
  aged: AgedForecast | null,
): number | string {
  const number = Math.round(renewedAtMs);
  if (aged === null) return number;
  const text = Admission.writeForecast(aged.forecast);
  return [number, Math.round(aged.ageMs), text].join(SEPARATOR);
}

/** When a renewal was sent, on the clock of its holder; null: that can't be read. */
export function renewedAtMs(value: unknown): number | null {
  if (typeof value === "number") return value;
  if (typeof value !== "string") return null;
  const atMs = Number.parseInt(value, 10);
  return Number.isNaN(atMs) ? null : atMs;
}

/** What a renewal tells; null where that is nothing, or can't be read. */
export function readLease(value: unknown): AgedForecast | null {
  if (typeof value !== "string") return null;
  const [, age, ...rest] = value.split(SEPARATOR);
  const ageMs = Number(age);
  if (!(ageMs >= 0)) return null;
  const forecast = Admission.readForecast(rest.join(SEPARATOR));
  return forecast === null ? null : { forecast, ageMs };
}
