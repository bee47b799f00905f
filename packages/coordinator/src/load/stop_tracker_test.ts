/** Outcomes of runs that are stopped for other work. */
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as stopTrackers from "./stop_tracker.ts";

let ids = 0;

function buildUnit(priority: number): Workflow.Unit {
  const workflow = new Workflow.Workflow({
    id: `workflow-${ids++}`,
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[priority],
    payload: "",
    steps: [TestUtils.buildStep()],
    schedule: null,
    acceptedAtMs: 0,
  });
  return workflow.readyUnits(0)[0];
}

function stopFor(
  claimant: Workflow.Unit,
  tracker: stopTrackers.StopTracker,
): Workflow.Task {
  const [task] = buildUnit(2).tasks;
  task.place("worker-1", 1, 0);
  tracker.noteStop({ task, claimant }, 400);
  return task;
}

/** Completes the claimant's only run. */
function complete(unit: Workflow.Unit): void {
  const [task] = unit.tasks;
  task.place("worker-1", 1, 500);
  const how = Workflow.RunEnd.Done;
  unit.workflow.endRun(task, { run: 1, how, checkpoint: "" }, 600);
}

vitest.describe("the result of a stop", () => {
  vitest.it("is that of the claimant where it took the freed capacity", () => {
    const facts = { freed: "a", started: ["a", "b"] };
    vitest.expect(stopTrackers.resultOf({ ...facts, isInTime: true }))
      .toBe(stopTrackers.StopResult.InTime);
    vitest.expect(stopTrackers.resultOf({ ...facts, isInTime: false }))
      .toBe(stopTrackers.StopResult.Late);
  });

  vitest.it("is no gain where the claimant ran elsewhere or never", () => {
    const rest = { freed: "a", isInTime: true };
    vitest.expect(stopTrackers.resultOf({ ...rest, started: ["b"] }))
      .toBe(stopTrackers.StopResult.Elsewhere);
    vitest.expect(stopTrackers.resultOf({ ...rest, started: null }))
      .toBe(stopTrackers.StopResult.NeverStarted);
  });
});

vitest.describe("StopTracker", () => {
  vitest.it("counts by result, queue and age once the claimant is over", () => {
    const metrics = new Metrics.Metrics();
    const tracker = new stopTrackers.StopTracker(metrics);
    const claimant = buildUnit(0);
    const victim = stopFor(claimant, tracker);
    tracker.countEnded(0);
    vitest.expect(tracker.counts).toMatchObject({ in_time: 0, open: 1 });
    tracker.noteStart({ unit: claimant, endpointIds: ["worker-1"] });
    complete(claimant);
    tracker.countEnded(1);
    vitest.expect(tracker.counts).toMatchObject({ in_time: 1, open: 0 });
    const { queue } = victim.workflow.spec.policy;
    const labels = { result: "in_time", queue, age: "under_1s" };
    vitest.expect(metrics.get("cairngate_stops_total", labels)).toBe(1);
  });

  vitest.it("counts as late what ends after its objective", () => {
    const tracker = new stopTrackers.StopTracker(new Metrics.Metrics());
    const claimant = buildUnit(0);
    stopFor(claimant, tracker);
    tracker.noteStart({ unit: claimant, endpointIds: ["worker-1"] });
    complete(claimant);
    tracker.countEnded(Workflow.objectiveAtMs(claimant.workflow.spec, 0) + 1);
    vitest.expect(tracker.counts).toMatchObject({ late: 1, in_time: 0 });
  });

  vitest.it("counts a claimant that was cancelled before it started", () => {
    const tracker = new stopTrackers.StopTracker(new Metrics.Metrics());
    const claimant = buildUnit(0);
    stopFor(claimant, tracker);
    claimant.workflow.cancelled = true;
    tracker.countEnded(1);
    vitest.expect(tracker.counts).toMatchObject({ never_started: 1, open: 0 });
  });
});
