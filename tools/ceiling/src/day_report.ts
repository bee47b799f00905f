/** Parses the parts of a bench report that the bound uses. */

/** An event of a day, such as an outage. */
export interface DayEvent {
  readonly kind: string;
  /** Seconds from the start of traffic. */
  readonly fromS: number;
  readonly toS: number;
}

/** Requests submitted during one span of time. */
export interface DayWindow {
  readonly fromS: number;
  readonly lengthS: number;
  /** Number of requests that count for the score. */
  readonly owed: number;
}

/** One part of the score of a day. */
export interface DayPart {
  readonly name: string;
  readonly weight: number;
  /** Share that was earned, 0 to 1. */
  readonly earned: number;
}

/** One deduction from the score. */
export interface DayPrice {
  readonly name: string;
  readonly deducted: number;
}

/** Results of a simulated day. */
export interface DayReport {
  readonly worth: number;
  readonly parts: readonly DayPart[];
  readonly prices: readonly DayPrice[];
  readonly windows: readonly DayWindow[];
  readonly events: readonly DayEvent[];
}

/** The text is not a valid report of a day. */
export class MalformedReport extends Error {
  readonly _tag = "MalformedReport";

  constructor(fault: string) {
    super(
      `This is not a valid report of a day: ${fault}. ` +
        "Use the file written by --report of the bench.",
    );
  }
}

/** Length of the windows of a report, in s. */
const WINDOW_S = 2;

interface WireReport {
  readonly G: number;
  readonly parts: readonly (readonly [string, number, number])[];
  readonly prices: readonly (readonly [string, number, number])[];
  readonly windows: readonly {
    readonly name: string;
    readonly n: number;
    readonly not_owed: number;
  }[];
  readonly events: readonly {
    readonly kind: string;
    readonly at_s: number;
    readonly to_s: number;
  }[];
}

/** Parses a report; throws `MalformedReport`. */
export function readReport(text: string): DayReport {
  const wire = parse(text);
  return {
    worth: wire.G,
    parts: wire.parts.map(([name, weight, earned]) => ({
      name,
      weight,
      earned,
    })),
    prices: wire.prices.map(([name, , deducted]) => ({ name, deducted })),
    windows: wire.windows.map(({ name, n, not_owed }) => ({
      fromS: Number(name),
      lengthS: WINDOW_S,
      owed: n - not_owed,
    })),
    events: wire.events.map(({ kind, at_s, to_s }) => ({
      kind,
      fromS: at_s,
      toS: to_s,
    })),
  };
}

function parse(text: string): WireReport {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    throw new MalformedReport(`it is not JSON (${String(err)})`);
  }
  const wire = value as Partial<WireReport> | null;
  if (typeof wire?.G !== "number") throw new MalformedReport("it has no G");
  const lists = ["parts", "prices", "windows", "events"] as const;
  for (const name of lists) {
    if (!Array.isArray(wire[name])) {
      throw new MalformedReport(`${name} is not a list`);
    }
  }
  return wire as WireReport;
}
