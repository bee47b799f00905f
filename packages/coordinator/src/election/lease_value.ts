/**
 * Value of the lease row, which the holder writes with each renewal: a number, or a
 * text if there is a forecast or a use of memory to publish or the window is longer
 * than usual. Every version of the product tells renewals apart by comparing these
 * values, so both are primitives, and earlier versions read the time of a text that
 * has a window.
 */
import * as Admission from "@cairngate/admission";
import * as paces from "./renewal_pace.ts";

/** Forecast carried by a renewal. */
export interface AgedForecast {
  readonly forecast: Admission.Forecast;
  /** Age when the renewal was sent, in ms. */
  readonly ageMs: number;
}

const SEPARATOR = " ";
const WINDOW_SEPARATOR = "+";
const PER_MILLE = 1000;

/** Encodes the value of one renewal. */
export function writeLease(
  renewedAtMs: number,
  aged: AgedForecast | null,
  windowMs = paces.MIN_SILENCE_MS,
  memoryUse: Admission.MemoryUse | null = null,
): number | string {
  const number = Math.round(renewedAtMs);
  const isUsual = windowMs <= paces.MIN_SILENCE_MS;
  const renewal = isUsual && memoryUse === null
    ? number
    : [number, Math.ceil(windowMs), ...toPerMille(memoryUse)].join(
      WINDOW_SEPARATOR,
    );
  if (aged === null) return renewal;
  const text = Admission.writeForecast(aged.forecast);
  return [renewal, Math.round(aged.ageMs), text].join(SEPARATOR);
}

/** Time after a renewal in which no other box may take over, in ms. */
export function windowMs(value: unknown): number {
  if (typeof value !== "string") return paces.MIN_SILENCE_MS;
  const [renewal] = value.split(SEPARATOR);
  const announcedMs = Number.parseInt(renewal.split(WINDOW_SEPARATOR)[1], 10);
  if (Number.isNaN(announcedMs)) return paces.MIN_SILENCE_MS;
  return Math.min(paces.MAX_WINDOW_MS, announcedMs);
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

/** Decodes the use of memory of a renewal; null where none is published. */
export function readMemoryUse(value: unknown): Admission.MemoryUse | null {
  if (typeof value !== "string") return null;
  const [renewal] = value.split(SEPARATOR);
  const [, , held, freed] = renewal.split(WINDOW_SEPARATOR).map(Number);
  if (!(held >= 0 && freed >= 0)) return null;
  return { heldShare: held / PER_MILLE, freedShare: freed / PER_MILLE };
}

function toPerMille(use: Admission.MemoryUse | null): number[] {
  if (use === null) return [];
  return [
    Math.ceil(use.heldShare * PER_MILLE),
    Math.floor(use.freedShare * PER_MILLE),
  ];
}
