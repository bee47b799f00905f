/**
 * Symptom: others stopped for urgent work, and their room went to later work. Order: the
 * work could be in time by a stop when others were told to stop; one plan later, with the
 * stops under way, a whole stop more would have made it late, so it claimed nothing.
 * Cause: whether a stop helps was asked of stops that had begun. Found by reading.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as plans from "./plan.ts";
import * as waiting from "./wait_reason.ts";

const STOP_MS = 200;
/** Objective of the urgent work: twice its time and half a second. */
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

/** Plans for urgent work beyond a guarantee beside one endpoint in use. */
function planAt(wallMs: number, state: Workflow.TaskState): plans.Plan {
  const urgent = buildWorkflow("urgent", 0);
  const later = buildWorkflow("later", 1);
  const [victim] = buildWorkflow("victim", 2, 10_000).tasks;
  victim.place("endpoint-0", 1, wallMs);
  victim.state = state;
  return plans.makePlan({
    workers: [{
      id: "endpoint-0",
      service: "analysis",
      dataCentre: "dc-1",
      rack: "rack-0",
      labels: new Set(),
      total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 1 },
      usable: true,
      speed: 1,
      occupants: [victim],
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

/** The last moment at which a whole stop leaves the work in time. */
const LAST_MS = ALLOWED_MS - URGENT_MS - STOP_MS;

vitest.describe("urgent work for which others stop", () => {
  vitest.it("keeps the room that is being freed until it can be late", () => {
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
  });

  vitest.it("lets no more stop than can help", () => {
    const { Running } = Workflow.TaskState;
    vitest.expect(planAt(LAST_MS + 30, Running).stops).toHaveLength(0);
  });
});
