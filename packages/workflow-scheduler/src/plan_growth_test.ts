/** Guards against plans that read each endpoint once per task of a step. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as plans from "./plan.ts";

/** Free endpoints of the fleet, with eight accelerators each. */
const ENDPOINTS = 200;
/** Tasks of the step, one accelerator each; about the size of the users' batches. */
const TASKS = 40;
/** Most reads of each endpoint by a plan for one step, on average. */
const MAX_READS_PER_ENDPOINT = 4;

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

/** Counts the reads of each endpoint by a plan, on average. */
function countReads(gang: boolean): number {
  let reads = 0;
  const endpoints = Array.from({ length: ENDPOINTS }, (_, i) => ({
    id: `i-${i}`,
    service: "analysis",
    dataCentre: "dc-1",
    rack: `rack-${Math.floor(i / 8)}`,
    labels: new Set(["a"]),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8 },
    get usable(): boolean {
      reads++;
      return true;
    },
    speed: 1,
    tasks: [],
  }));
  const plan = plans.makePlan({
    endpoints,
    workflows: [buildWorkflow(gang)],
    guarantees: new Map(),
    nowMs: 0,
    wallMs: 0,
    remotePenalty: 3,
    isAdvised: () => true,
  });
  const started = plan.starts.flatMap((start) => start.endpointIds);
  vitest.expect(started).toHaveLength(TASKS);
  return reads / ENDPOINTS;
}

vitest.describe("a plan for many tasks of one step", () => {
  vitest.it("reads each endpoint a few times for a gang", () => {
    vitest.expect(countReads(true)).toBeLessThanOrEqual(MAX_READS_PER_ENDPOINT);
  });

  vitest.it("reads each endpoint a few times for single tasks", () => {
    vitest.expect(countReads(false)).toBeLessThanOrEqual(
      MAX_READS_PER_ENDPOINT,
    );
  });
});

/** Tasks of the gang, each of which needs a whole endpoint. */
const GANG_SIZE = 32;
/** Most reads of the tasks of each endpoint by a plan for such a gang, on average. */
const MAX_VICTIM_READS_PER_ENDPOINT = 12;

/** Counts the reads of the tasks of each endpoint while an urgent gang evicts them. */
function countVictimReads(): number {
  let reads = 0;
  const ordinary = Array.from({ length: ENDPOINTS }, (_, i) => {
    const workflow = new Workflow.Workflow({
      ...buildWorkflow(false).spec,
      id: `lesser-${i}`,
      steps: [TestUtils.buildStep({ accelerators: 8 })],
    });
    const [task] = workflow.tasks;
    task.place(`i-${i}`, 1, 0);
    task.state = Workflow.TaskState.Running;
    return { workflow, task };
  });
  const endpoints = ordinary.map(({ task }, i) => ({
    id: `i-${i}`,
    service: "analysis",
    dataCentre: "dc-1",
    rack: `rack-${Math.floor(i / 8)}`,
    labels: new Set(["a"]),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8 },
    usable: true,
    speed: 1,
    get tasks() {
      reads++;
      return [task];
    },
  }));
  const policy = { ...buildWorkflow(true).spec.policy, priority: 0 };
  const urgent = new Workflow.Workflow({
    ...buildWorkflow(true).spec,
    policy,
    steps: [
      TestUtils.buildStep({ count: GANG_SIZE, gang: true, accelerators: 8 }),
    ],
  });
  const plan = plans.makePlan({
    endpoints,
    workflows: [...ordinary.map(({ workflow }) => workflow), urgent],
    guarantees: new Map([["hana", 8 * ENDPOINTS]]),
    nowMs: 0,
    wallMs: 0,
    remotePenalty: 3,
    isAdvised: () => true,
  });
  vitest.expect(plan.stops).toHaveLength(GANG_SIZE);
  return reads / ENDPOINTS;
}

vitest.describe("a plan for an urgent gang on a full fleet", () => {
  vitest.it("reads the tasks of each endpoint a few times", () => {
    vitest.expect(countVictimReads()).toBeLessThanOrEqual(
      MAX_VICTIM_READS_PER_ENDPOINT,
    );
  });
});
