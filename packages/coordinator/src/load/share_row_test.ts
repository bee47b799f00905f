/** Encoding and decoding of the row of team use. */
import * as vitest from "vitest";
import * as shareRows from "./share_row.ts";

vitest.describe("the row of team use", () => {
  vitest.it("decodes to what was written, with its age", () => {
    const use = new Map([["a", 0.25], ["b", 0.0000001]]);
    const row = JSON.parse(JSON.stringify(shareRows.encodeUse(use, 5000)));
    vitest.expect(shareRows.decodeUse(row, 7000))
      .toEqual({ use: new Map([["a", 0.25], ["b", 0]]), ageMs: 2000 });
  });

  vitest.it("counts as just written where its time is in the future", () => {
    const row = shareRows.encodeUse(new Map([["a", 0.25]]), 5000);
    vitest.expect(shareRows.decodeUse(row, 1000))
      .toEqual({ use: new Map([["a", 0.25]]), ageMs: 0 });
  });

  vitest.it("is rejected where it is too old or malformed", () => {
    const row = shareRows.encodeUse(new Map(), 0);
    vitest.expect(shareRows.decodeUse(row, 61_000))
      .toEqual({ reason: "it is 61000 ms old" });
    const foreign = [
      undefined,
      null,
      "text",
      {},
      { writtenAtMs: 0, use: { a: "much" } },
      { writtenAtMs: 0, use: { a: 2 } },
      { writtenAtMs: Number.NaN, use: {} },
    ];
    for (const value of foreign) {
      vitest.expect(shareRows.decodeUse(value, 0))
        .toEqual({ reason: "it can't be read" });
    }
  });

  vitest.it("holds the teams with the highest use above the limit", () => {
    const many = new Map(
      Array.from({ length: 2000 }, (_, i) => [`team-${i}`, i / 2000]),
    );
    const { use } = shareRows.encodeUse(many, 0);
    vitest.expect(Object.keys(use).length).toBe(500);
    vitest.expect(use["team-1999"]).toBeCloseTo(1, 2);
    vitest.expect(use["team-0"]).toBeUndefined();
  });
});
