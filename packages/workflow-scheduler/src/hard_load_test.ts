/** Tests which deployments count as having hard load. */
import * as vitest from "vitest";
import * as hardLoad from "./hard_load.ts";

function guaranteesOf(...paid: readonly number[]): Map<string, number> {
  return new Map(paid.map((one, i) => [`team-${i}`, one]));
}

vitest.describe("competing teams", () => {
  vitest.it("are detected if one team has paid for twice the mean", () => {
    const uneven = guaranteesOf(480, 200, 130, 90, 70, 50);
    vitest.expect(hardLoad.hasDominantTeam(uneven)).toBe(true);
  });

  vitest.it(
    "are not detected if all teams have paid for about the same",
    () => {
      const even = guaranteesOf(184, 150, 132, 120, 112, 100);
      vitest.expect(hardLoad.hasDominantTeam(even)).toBe(false);
    },
  );

  vitest.it("are not detected with one team or without guarantees", () => {
    vitest.expect(hardLoad.hasDominantTeam(guaranteesOf(100))).toBe(false);
    vitest.expect(hardLoad.hasDominantTeam(guaranteesOf(100, 0, 0))).toBe(
      false,
    );
    vitest.expect(hardLoad.hasDominantTeam(new Map())).toBe(false);
  });
});

vitest.describe("the spread of speeds", () => {
  vitest.it("ignores a few outliers", () => {
    const speeds = [0.1, ...Array.from({ length: 18 }, () => 1), 9];
    vitest.expect(hardLoad.speedSpread(speeds)).toBe(1);
  });

  vitest.it("is the ratio of fast to slow endpoints", () => {
    const speeds = [0.6, 0.6, 0.6, 0.6, 1, 1, 1, 1.5, 1.5, 1.5, 1.5, 1.5];
    vitest.expect(hardLoad.speedSpread(speeds)).toBeCloseTo(2.5);
  });

  vitest.it("is 1 if there are no endpoints", () => {
    vitest.expect(hardLoad.speedSpread([])).toBe(1);
  });
});

vitest.describe("uneven endpoint speeds", () => {
  vitest.it("are detected with hysteresis", () => {
    vitest.expect(hardLoad.doEndpointsDiffer(1.4, false)).toBe(false);
    vitest.expect(hardLoad.doEndpointsDiffer(1.5, false)).toBe(true);
    vitest.expect(hardLoad.doEndpointsDiffer(1.4, true)).toBe(true);
    vitest.expect(hardLoad.doEndpointsDiffer(1.3, true)).toBe(false);
  });
});
