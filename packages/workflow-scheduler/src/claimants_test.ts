/** Guards against two urgent units being assigned the same victim in one plan. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import type * as fleet from "./fleet.ts";
import * as plans from "./plan.ts";

const URGENT_PRIORITY = 0;
const LOW_PRIORITY = 2;

function buildWorkflow(id: string, priority: number): Workflow.Workflow {
  return new Workflow.Workflow({
    id,
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[priority],
    payload: "",
    steps: [TestUtils.buildStep()],
    schedule: null,
    acceptedAtMs: 0,
  });
}

function buildEndpoint(
  id: string,
  placedTask: Workflow.Task,
): fleet.EndpointSnapshot {
  return {
    id,
    service: "analysis",
    rack: "rack-0",
    labels: new Set(["a"]),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 1 },
    usable: true,
    dataCentre: "dc-1",
    speed: 1,
    tasks: [placedTask],
  };
}

vitest.describe("two urgent units on two full endpoints", () => {
  vitest.it("are each given a victim of their own", () => {
    const low = ["low-0", "low-1"].map((id) => buildWorkflow(id, LOW_PRIORITY));
    const endpoints = low.map((workflow, i) => {
      const [task] = workflow.tasksOfStep(0, 0);
      task.place(`endpoint-${i}`, 1, 0);
      task.state = Workflow.TaskState.Running;
      return buildEndpoint(`endpoint-${i}`, task);
    });
    const urgent = ["urgent-0", "urgent-1"]
      .map((id) => buildWorkflow(id, URGENT_PRIORITY));
    const plan = plans.makePlan({
      endpoints,
      workflows: [...low, ...urgent],
      guarantees: new Map([["hana", 2]]),
      nowMs: 500,
      wallMs: 500,
      remotePenalty: 3,
      isAdvised: () => true,
    });
    vitest.expect(plan.stops.length).toBe(2);
    const claimants = plan.stops.map(({ claimant }) => claimant.workflow);
    vitest.expect(new Set(claimants)).toEqual(new Set(urgent));
  });
});
