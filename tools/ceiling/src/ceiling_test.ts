/** Upper bounds of the scores of days, and the parsing of reports. */
import * as vitest from "vitest";
import * as ceilings from "./ceiling.ts";
import * as reports from "./day_report.ts";

const PATIENCE = { patienceS: 3 };

function buildReport(
  events: readonly reports.DayEvent[],
): reports.DayReport {
  const windows = [0, 2, 4, 6, 8].map((fromS) => ({
    fromS,
    lengthS: 2,
    owed: 20,
  }));
  const part = (name: string, weight: number) => ({ name, weight, earned: 0 });
  const parts = [
    part("whole day", 0.5),
    part("worst windows", 0.25),
    part("nines", 0.25),
  ];
  const prices = [
    { name: "machine-seconds", deducted: 0.02 },
    { name: "core-seconds of work thrown away", deducted: 0.3 },
  ];
  return { worth: 0.4, parts, prices, windows, events };
}

const down = (fromS: number, toS: number, detail = "") => ({
  kind: `platform_down${detail}`,
  fromS,
  toS,
});

vitest.describe("the bound of a day", () => {
  vitest.it("without outages only deducts the use of the boxes", () => {
    const bound = ceilings.computeBound(buildReport([]), PATIENCE);
    vitest.expect(bound.lostShare).toBe(0);
    vitest.expect(bound.worth).toBeCloseTo(0.98);
  });

  vitest.it("excludes callers that give up before an outage ends", () => {
    // The outage lasts from 2 to 6 s: callers from 2 to 3 s have given up by 6 s.
    const report = buildReport([down(2, 6, " (silent)")]);
    const bound = ceilings.computeBound(report, PATIENCE);
    vitest.expect(bound.lostShare).toBeCloseTo(0.1);
    vitest.expect(bound.parts["worst windows"]).toBeCloseTo(0.75);
    vitest.expect(bound.parts["nines"]).toBeCloseTo(1 / 3);
    const earned = 0.5 * 0.9 + 0.25 * 0.75 + 0.25 / 3;
    vitest.expect(bound.worth).toBeCloseTo(earned - 0.02);
  });

  vitest.it("ignores partial and short outages", () => {
    const events = [down(2, 9, " (nodes busy)"), down(2, 4.5)];
    const bound = ceilings.computeBound(buildReport(events), PATIENCE);
    vitest.expect(bound.lostShare).toBe(0);
  });
});

vitest.describe("a report", () => {
  vitest.it("is read from the format of the bench", () => {
    const text = JSON.stringify({
      G: 0.5,
      parts: [["nines", 0.35, 0.4]],
      prices: [["machine-seconds", 100, 0.03]],
      windows: [{ name: "4", n: 9, not_owed: 2 }],
      events: [{ kind: "burst", at_s: 1, to_s: 2 }],
    });
    vitest.expect(reports.readReport(text)).toEqual({
      worth: 0.5,
      parts: [{ name: "nines", weight: 0.35, earned: 0.4 }],
      prices: [{ name: "machine-seconds", deducted: 0.03 }],
      windows: [{ fromS: 4, lengthS: 2, owed: 7 }],
      events: [{ kind: "burst", fromS: 1, toS: 2 }],
    });
  });

  for (const text of ["{", "null", "{}", '{"G":1,"parts":3}']) {
    vitest.it(`is rejected if malformed: ${text}`, () => {
      vitest.expect(() => reports.readReport(text))
        .toThrow(reports.MalformedReport);
    });
  }
});
