/**
 * Guards against giving capacity that is freed for urgent work to later work. Urgent
 * work stops a task while it can still end in time after a full stop. If the next plan
 * checks that again while the stop is under way, a full stop takes too long, and the
 * urgent work drops its claim.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as plans from "./plan.ts";
import * as waiting from "./wait_reason.ts";

const STOP_MS = 200;
/** Run time of the urgent work. Its objective is twice that plus 500 ms. */
const URGENT_MS = 1000;
const ALLOWED_MS = 2500;

function buildWorkflow(
  id: string,
  priority: number,
  estimateMs = URGENT_MS,
): Workflow.Workflow {
  return new Workflow.Workflow({
    id,
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[priority],
    payload: "",
    steps: [TestUtils.buildStep({ estimateMs })],
    schedule: null,
    acceptedAtMs: 0,
  });
}

/** Plans for urgent work beyond a guarantee on a fleet of one busy endpoint. */
function planAt(wallMs: number, state: Workflow.TaskState): plans.Plan {
  const urgent = buildWorkflow("urgent", 0);
  const later = buildWorkflow("later", 1);
  const [victim] = buildWorkflow("victim", 2, 10_000).tasks;
  victim.place("endpoint-0", 1, wallMs);
  victim.state = state;
  return plans.makePlan({
    endpoints: [{
      id: "endpoint-0",
      service: "analysis",
      dataCentre: "dc-1",
      rack: "rack-0",
      labels: new Set(),
      total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 1 },
      usable: true,
      speed: 1,
      tasks: [victim],
    }],
    workflows: [later, urgent, victim.workflow],
    guarantees: new Map(),
    nowMs: wallMs,
    wallMs,
    remotePenalty: 3,
    isAdvised: () => true,
    hardLoad: { teamsCompete: true, endpointsDiffer: false },
    stopMs: STOP_MS,
  });
}

/** Latest time at which the work still ends in time after a full stop. */
const LAST_MS = ALLOWED_MS - URGENT_MS - STOP_MS;

vitest.describe("urgent work for which other tasks stop", () => {
  vitest.it(
    "keeps capacity that is being freed after a new stop would be too late",
    () => {
      const { Running, Stopping } = Workflow.TaskState;
      vitest.expect(planAt(LAST_MS, Running).stops).toHaveLength(1);
      const { waits } = planAt(LAST_MS + 30, Stopping);
      const reasons = waits.map(({ unit, reason }) =>
        [unit.workflow.spec.id, reason] as const
      );
      vitest.expect(reasons).toContainEqual([
        "urgent",
        waiting.WaitReason.Stops,
      ]);
    },
  );

  vitest.it("stops no task if it would end late anyway", () => {
    const { Running } = Workflow.TaskState;
    vitest.expect(planAt(LAST_MS + 30, Running).stops).toHaveLength(0);
  });
});
