/** Recent and earlier rates of a run. */
import * as vitest from "vitest";
import * as paces from "./run_pace.ts";

/** Pace of a run that reports its progress every 500 ms. */
function createPace(...percents: number[]): paces.RunPace {
  const [first, ...rest] = percents;
  const pace = new paces.RunPace(10_000, first);
  rest.forEach((percent, i) => pace.addSample(10_000 + (i + 1) * 500, percent));
  return pace;
}

vitest.describe("RunPace", () => {
  vitest.it("distinguishes the recent rate from the earlier one", () => {
    const pace = createPace(0, 5, 10, 15, 20, 25, 26, 27, 28);
    vitest.expect(pace.earlierRate).toBeCloseTo(0.01, 3);
    vitest.expect(pace.recentRate).toBeCloseTo(0.002, 3);
    vitest.expect(pace.watchedMs).toBe(4000);
    vitest.expect(pace.gainedPercent).toBe(28);
  });

  vitest.it("has neither rate for a run that has just started", () => {
    const pace = new paces.RunPace(10_000, 0);
    pace.addSample(10_300, 4);
    vitest.expect(pace.recentRate).toBeNull();
    vitest.expect(pace.earlierRate).toBeNull();
  });

  vitest.it("ignores the wait of a gang member that is done", () => {
    const pace = createPace(0, 50, 100, 100, 100, 100);
    vitest.expect(pace.watchedMs).toBe(1000);
    vitest.expect(pace.recentRate).toBeCloseTo(0.1, 3);
  });

  vitest.it("computes the remaining time at the recent rate", () => {
    vitest.expect(createPace(0, 10, 20, 30, 40).remainingMs).toBeCloseTo(
      3000,
      0,
    );
    vitest.expect(createPace(0, 0).remainingMs).toBeNull();
    vitest.expect(createPace(0).remainingMs).toBeNull();
  });

  vitest.it("ignores a sample that is older than the last", () => {
    const pace = createPace(0, 5, 10);
    pace.addSample(10_700, 7);
    vitest.expect(pace.percent).toBe(10);
  });
});
