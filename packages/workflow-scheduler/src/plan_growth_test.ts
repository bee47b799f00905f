/** How often a plan looks at each endpoint, for many tasks of one step. */
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as plans from "./plan.ts";

/** Endpoints of the fleet, with eight accelerators each: all are free. */
const ENDPOINTS = 200;
/** Tasks of the step, one accelerator each: about what the users' batches have. */
const TASKS = 40;
/** Looks at each endpoint that a plan for one step may take. */
const MOST_LOOKS = 4;

function buildWorkflow(gang: boolean): Workflow.Workflow {
  const step = Workflow.createStep({
    count: TASKS,
    gang,
    cpuMillis: 1000,
    memoryMb: 1000,
    accelerators: 1,
    estimateMs: 1000,
  });
  return new Workflow.Workflow({
    id: "a000000000000001",
    tenant: "hana",
    policy: {
      queue: "maps",
      service: "analysis",
      priority: 1,
      attempts: 3,
      stretch: 3,
      latencyMs: 1000,
      advice: null,
    },
    payload: "",
    steps: [step],
    schedule: null,
    acceptedAtMs: 0,
  });
}

/** Looks at each endpoint, on average, while a plan is made. */
function countLooks(gang: boolean): number {
  let looks = 0;
  const workers = Array.from({ length: ENDPOINTS }, (_, i) => ({
    id: `i-${i}`,
    service: "analysis",
    dataCentre: "dc-1",
    rack: `rack-${Math.floor(i / 8)}`,
    labels: new Set(["a"]),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8 },
    get usable(): boolean {
      looks++;
      return true;
    },
    speed: 1,
    occupants: [],
  }));
  const plan = plans.makePlan({
    workers,
    workflows: [buildWorkflow(gang)],
    guarantees: new Map(),
    nowMs: 0,
    wallMs: 0,
    remotePenalty: 3,
    isAdvised: () => true,
  });
  const started = plan.starts.flatMap((start) => start.workers);
  vitest.expect(started).toHaveLength(TASKS);
  return looks / ENDPOINTS;
}

vitest.describe("a plan for many tasks of one step", () => {
  vitest.it("looks at each endpoint a few times for a gang", () => {
    vitest.expect(countLooks(true)).toBeLessThanOrEqual(MOST_LOOKS);
  });

  vitest.it("looks at each endpoint a few times for single tasks", () => {
    vitest.expect(countLooks(false)).toBeLessThanOrEqual(MOST_LOOKS);
  });
});
