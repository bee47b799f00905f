/** Checks that the planning measurements run and report the right task counts. */
import * as vitest from "vitest";
import * as plans from "./workflow_plans.ts";

vitest.describe("measurePlans", () => {
  vitest.it("measures a small, nearly full fleet", () => {
    const times = plans.measurePlans(20);
    vitest.expect(times.running).toBe(140);
    vitest.expect(times.waiting).toBe(16);
    vitest.expect(times.medianMs).toBeGreaterThan(0);
    vitest.expect(times.worstMs).toBeGreaterThanOrEqual(times.medianMs);
  });
});

vitest.describe("measureBatchPlans", () => {
  vitest.it("measures batches on a half-free fleet", () => {
    const times = plans.measureBatchPlans(10, 100);
    vitest.expect(times.running).toBe(40);
    vitest.expect(times.waiting).toBe(120);
    vitest.expect(times.medianMs).toBeGreaterThan(0);
  });
});

vitest.describe("measureEvictionPlans", () => {
  vitest.it("measures an urgent gang on a full fleet", () => {
    const times = plans.measureEvictionPlans(40, true);
    vitest.expect(times.running).toBe(320);
    vitest.expect(times.waiting).toBe(32);
    vitest.expect(times.medianMs).toBeGreaterThan(0);
  });
});
