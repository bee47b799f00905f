/** Which runs count for the accuracy of estimates. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as assignments from "../sessions/assignment.ts";
import * as estimates from "./run_estimates.ts";

const ESTIMATE_MS = 1000;
const TOOK_MS = 3000;

const SITES = new Map([
  ["fast", { rack: "rack-0", speed: 1.6 }],
  ["slow", { rack: "rack-0", speed: 0.5 }],
  ["far", { rack: "rack-1", speed: 1 }],
]);

/**
 * Completes the runs of one step in order; returns the statistics learned from them.
 */
function endAll(
  step: Partial<Workflow.StepSpec>,
  endpoints: readonly string[],
  run = 1,
): readonly { runs: number; usual: number }[] {
  const workflow = new Workflow.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[0],
    payload: "",
    steps: [
      TestUtils.buildStep({
        count: endpoints.length,
        estimateMs: ESTIMATE_MS,
        ...step,
      }),
    ],
    schedule: null,
    acceptedAtMs: 0,
  });
  const clock = new TestUtils.FakeClock();
  const learned = new estimates.RunEstimates({
    clock,
    siteOf: (id) => SITES.get(id) ?? null,
    onSingleTaskDone: () => {},
  });
  const placed = workflow.tasksOfStep(0, 0).map((task, i) => {
    task.place(endpoints[i], run, clock.monotonicMs());
    const assignment = assignments.createAssignment(task, null);
    return { ...assignment, sentAtMs: clock.monotonicMs() - TOOK_MS };
  });
  for (const assignment of placed) {
    learned.noteDone(assignment);
    const end = { run, how: Workflow.RunEnd.Done, checkpoint: "" };
    workflow.endRun(assignment.task, end, clock.monotonicMs());
  }
  return learned.describe();
}

vitest.describe("RunEstimates", () => {
  vitest.it("takes in single runs", () => {
    vitest.expect(endAll({}, ["fast", "slow"])[0].runs).toBe(2);
  });

  vitest.it("takes in a gang once, at its slowest member's speed", () => {
    const gang = { gang: true };
    const [learned] = endAll(gang, ["fast", "slow", "fast"]);
    vitest.expect(learned.runs).toBe(1);
  });

  vitest.it("ignores runs away from their data or rack", () => {
    vitest.expect(endAll({ rack: "rack-1" }, ["fast"])).toEqual([]);
    vitest.expect(endAll({ gang: true, sameRack: true }, ["fast", "far"]))
      .toEqual([]);
  });

  vitest.it("ignores runs that resume from a checkpoint", () => {
    vitest.expect(endAll({ checkpoints: true }, ["fast"], 2)).toEqual([]);
    vitest.expect(endAll({ checkpoints: true }, ["fast"], 1)[0].runs).toBe(1);
  });

  vitest.it("ignores runs on endpoints that are not listed", () => {
    vitest.expect(endAll({}, ["gone"])).toEqual([]);
  });
});
