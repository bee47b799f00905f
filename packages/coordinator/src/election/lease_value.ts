/**
 * Value of the lease row, which the holder writes with each renewal: a number, or a
 * text if there is a forecast to publish. Every version of the product tells renewals
 * apart by comparing these values, so both are primitives.
 */
import * as Admission from "@cairngate/admission";

/** Forecast carried by a renewal. */
export interface AgedForecast {
  readonly forecast: Admission.Forecast;
  /** Age when the renewal was sent, in ms. */
  readonly ageMs: number;
}

const SEPARATOR = " ";

/** Encodes the value of one renewal. */
export function writeLease(
  renewedAtMs: number,
  aged: AgedForecast | null,
): number | string {
  const number = Math.round(renewedAtMs);
  if (aged === null) return number;
  const text = Admission.writeForecast(aged.forecast);
  return [number, Math.round(aged.ageMs), text].join(SEPARATOR);
}

/**
 * When a renewal was sent, on its holder's clock, in ms; null where it can't be read.
 */
export function renewedAtMs(value: unknown): number | null {
  if (typeof value === "number") return value;
  if (typeof value !== "string") return null;
  const atMs = Number.parseInt(value, 10);
  return Number.isNaN(atMs) ? null : atMs;
}

/** Decodes the forecast of a renewal; null where there is none or it can't be read. */
export function readLease(value: unknown): AgedForecast | null {
  if (typeof value !== "string") return null;
  const [, age, ...rest] = value.split(SEPARATOR);
  const ageMs = Number(age);
  if (!(ageMs >= 0)) return null;
  const forecast = Admission.readForecast(rest.join(SEPARATOR));
  return forecast === null ? null : { forecast, ageMs };
}
