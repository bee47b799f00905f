/** Computes an upper bound of the score of a simulated day; see README. */
import type * as reports from "./day_report.ts";

/** A span of time, in seconds from the start of traffic. */
export interface Span {
  readonly fromS: number;
  readonly toS: number;
}

/** Upper bound of a day's score. */
export interface Bound {
  /** Share of the requests that no policy could have served. */
  readonly lostShare: number;
  /** Upper bound of the day's score. */
  readonly worth: number;
  /** Upper bound of each part of the score, before deductions. */
  readonly parts: Readonly<Record<string, number>>;
  /** Sum of the deductions that no policy can avoid. */
  readonly prices: number;
}

/** Assumptions of the bound. */
export interface BoundOptions {
  /** How long a caller retries one request, in s. */
  readonly patienceS: number;
}

/** Number of windows that count as the worst ones. */
const WORST_WINDOW_COUNT = 2;
/** The unserved share is scored by its logarithm; three nines score 1. */
const MAX_NINES = 3;
/** Time until the boxes of a role respond again after all restart at once, in s. */
const RESTART_S = 0.5;
/** Deductions for resources that the boxes use under any policy. */
const UNAVOIDABLE_PRICES: readonly string[] = [
  "machine-seconds",
  "memory, GB x seconds",
];

/** Returns the spans in which no request could be served. */
export function findOutages(events: readonly reports.DayEvent[]): Span[] {
  return events.flatMap(({ kind, fromS, toS }): Span[] => {
    const [name, detail = ""] = kind.split(" (");
    const isTotal = !/nodes|tables|log/.test(detail);
    if (name === "platform_down" && isTotal) return [{ fromS, toS }];
    if (name === "closing") return [{ fromS, toS: fromS + RESTART_S }];
    return [];
  });
}

/** Computes the upper bound of a day's score. */
export function computeBound(
  report: reports.DayReport,
  { patienceS }: BoundOptions,
): Bound {
  const unservable = findOutages(report.events)
    .map(({ fromS, toS }): Span => ({ fromS, toS: toS - patienceS }));
  const shares = report.windows.map((window) =>
    lostShareOf(window, unservable)
  );
  const owed = report.windows.reduce((sum, window) => sum + window.owed, 0);
  const lost = report.windows.reduce(
    (sum, window, i) => sum + window.owed * shares[i],
    0,
  );
  const lostShare = owed === 0 ? 0 : lost / owed;
  const worstWindows = meanOfHighest(shares, WORST_WINDOW_COUNT);
  const parts: Record<string, number> = {};
  for (const { name } of report.parts) {
    parts[name] = boundOfPart(name, { lostShare, worstWindows });
  }
  const prices = report.prices
    .filter(({ name }) => UNAVOIDABLE_PRICES.includes(name))
    .reduce((sum, { deducted }) => sum + deducted, 0);
  const weights = report.parts.reduce((sum, { weight }) => sum + weight, 0);
  const earned = report.parts.reduce(
    (sum, { name, weight }) => sum + weight * parts[name],
    0,
  );
  return { lostShare, worth: earned / weights - prices, parts, prices };
}

function boundOfPart(
  name: string,
  lost: { lostShare: number; worstWindows: number },
): number {
  if (name === "worst windows") return 1 - lost.worstWindows;
  if (name !== "nines") return 1 - lost.lostShare;
  if (lost.lostShare === 0) return 1;
  return Math.min(1, -Math.log10(lost.lostShare) / MAX_NINES);
}

/** Returns the share of a window covered by the spans, which must not overlap. */
function lostShareOf(
  { fromS, lengthS }: reports.DayWindow,
  spans: readonly Span[],
): number {
  const coveredS = spans.reduce((sum, span) => {
    const beginS = Math.max(fromS, span.fromS);
    const endS = Math.min(fromS + lengthS, span.toS);
    return sum + Math.max(0, endS - beginS);
  }, 0);
  return Math.min(1, coveredS / lengthS);
}

function meanOfHighest(values: readonly number[], count: number): number {
  const highest = [...values].sort((a, b) => b - a).slice(0, count);
  if (highest.length === 0) return 0;
  return highest.reduce((sum, value) => sum + value, 0) / highest.length;
}
