/** Tests which stops are allowed under hard load. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as rank from "./rank.ts";
import * as stopRules from "./stop_rules.ts";

const STOP_MS = 200;

function contextAt(wallMs: number): stopRules.StopContext {
  const bestOutcomeAfter = (unit: Workflow.Unit, delayMs: number) =>
    rank.outcomeOf(unit, wallMs + delayMs);
  return { wallMs, stopMs: STOP_MS, bestOutcomeAfter };
}

function buildUnit(estimateMs: number): Workflow.Unit {
  const workflow = new Workflow.Workflow({
    id: "workflow-1",
    tenant: "hana",
    policy: { ...TestUtils.buildAccess().queues[0], stretch: 2, latencyMs: 0 },
    payload: "",
    steps: [TestUtils.buildStep({ estimateMs })],
    schedule: null,
    acceptedAtMs: 0,
  });
  return workflow.readyUnits(0)[0];
}

vitest.describe("a stop for urgent work", () => {
  vitest.it("is allowed while the work ends in time after it", () => {
    const unit = buildUnit(1000);
    const canEndAt = (wallMs: number) =>
      stopRules.canEndInTimeAfterStops(unit, contextAt(wallMs));
    vitest.expect(canEndAt(800)).toBe(true);
    vitest.expect(canEndAt(801)).toBe(false);
  });

  vitest.it("spares a task that was stopped often, and its gang", () => {
    const { tasks } = buildUnit(1000);
    tasks[0].preemptions = stopRules.MAX_STOPS - 1;
    vitest.expect(stopRules.isSpared(tasks)).toBe(false);
    tasks[0].preemptions++;
    vitest.expect(stopRules.isSpared(tasks)).toBe(true);
  });
});
