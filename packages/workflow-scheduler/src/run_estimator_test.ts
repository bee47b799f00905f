/** Tests expected run times and the correction of estimates. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as fc from "fast-check";
import * as vitest from "vitest";
import * as estimateCorrections from "./estimate_corrections.ts";
import * as estimates from "./run_estimator.ts";

function buildUnit(estimateMs: number): Workflow.Unit {
  const workflow = new Workflow.Workflow({
    id: "workflow",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[0],
    payload: "",
    steps: [TestUtils.buildStep({ estimateMs })],
    schedule: null,
    acceptedAtMs: 0,
  });
  return workflow.readyUnits(0)[0];
}

vitest.describe("the expected time of a run", () => {
  vitest.it("grows as the speed of the slowest endpoint falls", () => {
    const speed = fc.double({ min: 0.1, max: 4, noNaN: true });
    fc.assert(fc.property(speed, speed, (one, other) => {
      const estimator = new estimates.RunEstimator([1], new Map());
      const unit = buildUnit(1000);
      const slow = estimator.expectedMs(unit, Math.min(one, other));
      const fast = estimator.expectedMs(unit, Math.max(one, other));
      vitest.expect(slow).toBeGreaterThanOrEqual(fast);
    }));
  });

  vitest.it("grows with the correction of the queue", () => {
    const { queue } = TestUtils.buildAccess().queues[0];
    const estimator = new estimates.RunEstimator(
      [1],
      new Map([[queue, 1.5]]),
    );
    vitest.expect(estimator.expectedMs(buildUnit(1000), 0.5)).toBe(3000);
  });
});

vitest.describe("the speed that a unit needs", () => {
  vitest.it(
    "grows while it waits, and further if other tasks have to stop",
    () => {
      const estimator = new estimates.RunEstimator([1.6], new Map());
      const unit = buildUnit(2000);
      const atOnce = estimator.neededSpeed(unit, 0);
      vitest.expect(estimator.neededSpeed(unit, 500)).toBeGreaterThan(atOnce);
      vitest.expect(estimator.neededSpeedAfterStops(unit, 0))
        .toBeGreaterThan(estimator.neededSpeed(unit, 500));
    },
  );

  vitest.it("is infinite once the unit would end too late to count", () => {
    const estimator = new estimates.RunEstimator([1.6], new Map());
    vitest.expect(estimator.neededSpeed(buildUnit(2000), 1e6))
      .toBe(Number.POSITIVE_INFINITY);
  });
});

vitest.describe("a correction", () => {
  vitest.it("stays within its bounds for arbitrary runs", () => {
    const run = fc.record({
      queue: fc.constantFrom("a", "b"),
      estimateMs: fc.double(),
      tookMs: fc.double(),
      speed: fc.double(),
    });
    fc.assert(fc.property(fc.array(run), (runs) => {
      const corrections = new estimateCorrections.EstimateCorrections();
      for (const one of runs) corrections.record(one);
      for (const correction of corrections.corrections.values()) {
        vitest.expect(correction).toBeGreaterThanOrEqual(0.5);
        vitest.expect(correction).toBeLessThanOrEqual(2.5);
      }
    }));
  });

  vitest.it("follows run times scaled by the speed of the endpoint", () => {
    const corrections = new estimateCorrections.EstimateCorrections();
    const ended = { queue: "a", estimateMs: 1000, tookMs: 3000, speed: 0.5 };
    for (let i = 0; i < 4; i++) corrections.record(ended);
    vitest.expect(corrections.corrections.get("a")).toBe(1);
    for (let i = 0; i < 4; i++) corrections.record(ended);
    vitest.expect(corrections.corrections.get("a")).toBe(1.5);
  });

  vitest.it("forgets old runs", () => {
    const corrections = new estimateCorrections.EstimateCorrections();
    const ended = { queue: "a", estimateMs: 1000, tookMs: 2000, speed: 1 };
    for (let i = 0; i < 60; i++) corrections.record(ended);
    for (let i = 0; i < 60; i++) corrections.record({ ...ended, tookMs: 1000 });
    vitest.expect(corrections.corrections.get("a")).toBe(1);
  });
});
