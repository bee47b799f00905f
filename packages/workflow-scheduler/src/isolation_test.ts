/** Tests that tasks whose endpoints crashed run alone where that is cheap. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import type * as fleet from "./fleet.ts";
import * as plans from "./plan.ts";

const RACK_SIZE = 2;
const NOW_MS = 10_000;

function buildWorkflow(
  id: string,
  step: Partial<Workflow.StepSpec>,
  crashes = 0,
): Workflow.Workflow {
  const workflow = new Workflow.Workflow({
    id,
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep(step)],
    schedule: null,
    acceptedAtMs: 0,
  });
  for (const task of workflow.tasks) {
    task.crashes = { laid: crashes, excused: 0, presence: crashes, unseen: 0 };
    task.waitingSinceMs = NOW_MS;
  }
  return workflow;
}

/** Endpoints with two accelerators; those in `halfFull` run one task. */
function buildEndpoints(
  count: number,
  halfFull: readonly number[],
  crashedLately: readonly number[] = [],
): fleet.EndpointSnapshot[] {
  return Array.from({ length: count }, (_, i) => {
    const neighbour = buildWorkflow(`beside-${i}`, {});
    for (const task of neighbour.tasks) task.place(`worker-${i}`, 1, 0);
    return {
      id: `worker-${i}`,
      service: "analysis",
      rack: `rack-${Math.floor(i / RACK_SIZE)}`,
      labels: new Set(["a"]),
      total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 2 },
      usable: true,
      dataCentre: "dc-1",
      hasCrashedLately: crashedLately.includes(i),
      speed: 1,
      tasks: halfFull.includes(i) ? [...neighbour.tasks] : [],
    };
  });
}

/** Endpoints on which the plan starts tasks, by workflow id. */
function plan(
  endpoints: readonly fleet.EndpointSnapshot[],
  workflows: readonly Workflow.Workflow[],
): Record<string, string[]> {
  const { starts } = plans.makePlan({
    endpoints,
    workflows,
    guarantees: new Map(),
    nowMs: NOW_MS,
    wallMs: 0,
    remotePenalty: 3,
    isAdvised: () => true,
  });
  const places: Record<string, string[]> = {};
  for (const { unit, endpointIds: chosen } of starts) {
    const { id } = unit.workflow.spec;
    places[id] = [...places[id] ?? [], ...chosen];
  }
  return places;
}

vitest.describe("a task whose endpoint has crashed", () => {
  vitest.it("starts on an empty endpoint and gets no neighbours", () => {
    const endpoints = buildEndpoints(3, [0, 1]);
    const suspect = buildWorkflow("suspect", {}, 1);
    const other = buildWorkflow("other", {});
    const places = plan(endpoints, [suspect, other]);
    vitest.expect(places["suspect"]).toEqual(["worker-2"]);
    vitest.expect(places["other"]).not.toEqual(["worker-2"]);
  });

  vitest.it("prefers an endpoint that has not crashed lately", () => {
    const suspect = buildWorkflow("suspect", {}, 1);
    const endpoints = buildEndpoints(4, [], [0, 1, 3]);
    vitest.expect(plan(endpoints, [suspect])["suspect"]).toEqual(["worker-2"]);
  });

  vitest.it("starts beside other tasks if no endpoint is empty", () => {
    const suspect = buildWorkflow("suspect", {}, 1);
    const places = plan(buildEndpoints(2, [0, 1]), [suspect]);
    vitest.expect(places["suspect"]).toHaveLength(1);
  });

  vitest.it("waits for an empty endpoint after two crashes", () => {
    const suspect = buildWorkflow("suspect", {}, 2);
    const endpoints = buildEndpoints(2, [0, 1]);
    vitest.expect(plan(endpoints, [suspect])).toEqual({});
    const [task] = suspect.tasks;
    task.waitingSinceMs = 0;
    vitest.expect(plan(endpoints, [suspect])["suspect"]).toHaveLength(1);
  });

  vitest.it("does not delay the other tasks of its step", () => {
    const step = buildWorkflow("step", { count: 2 });
    const [suspect] = step.tasks;
    suspect.crashes = { laid: 2, excused: 0, presence: 4, unseen: 0 };
    const places = plan(buildEndpoints(2, [0, 1]), [step]);
    vitest.expect(places["step"]).toHaveLength(1);
  });

  vitest.it("stays on one rack as a gang rather than alone on several", () => {
    const step = { count: 3, gang: true, sameRack: true };
    const suspect = buildWorkflow("suspect", step, 1);
    // Each rack has one empty endpoint; the gang fits one rack beside other tasks.
    const places = plan(buildEndpoints(4, [0, 2]), [suspect]);
    const racks = new Set(
      places["suspect"].map((id) => Math.floor(Number(id.slice(-1)) / 2)),
    );
    vitest.expect(racks.size).toBe(1);
  });

  vitest.it("stays near its data rather than alone elsewhere", () => {
    const suspect = buildWorkflow("suspect", { rack: "rack-0" }, 1);
    const places = plan(buildEndpoints(4, [0, 1]), [suspect]);
    vitest.expect(["worker-0", "worker-1"]).toContain(places["suspect"][0]);
  });
});

/**
 * Guards against an extra start after the third crash of a task. Only two are allowed,
 * but one that is stopped for urgent work after a second does not show whether the task
 * crashes its endpoint. Seen with random endpoint restarts, seed 122.
 */
vitest.describe("a task whose endpoints have crashed three times", () => {
  const RAN_MS = { young: 500, old: 5000 };

  /** Workflows stopped for guaranteed work if the running ones fill all endpoints. */
  function findVictims(running: readonly Workflow.Workflow[]): string[] {
    const claim = new Workflow.Workflow({
      ...buildWorkflow("claim", {}).spec,
      policy: TestUtils.buildAccess().queues[0],
    });
    const empty = buildEndpoints(running.length, []);
    const endpoints = empty.map((state, i) => ({
      ...state,
      total: { ...state.total, accelerators: 1 },
      tasks: [...running[i].tasks],
    }));
    const { stops } = plans.makePlan({
      endpoints,
      workflows: [...running, claim],
      guarantees: new Map([["hana", 1]]),
      nowMs: NOW_MS,
      wallMs: 0,
      remotePenalty: 3,
      isAdvised: () => true,
    });
    return stops.map(({ task }) => task.workflow.spec.id);
  }

  function startOn(
    workflow: Workflow.Workflow,
    endpoint: string,
    ranMs: number,
  ): Workflow.Workflow {
    for (const task of workflow.tasks) {
      task.place(endpoint, 1, NOW_MS - ranMs);
      task.state = Workflow.TaskState.Running;
    }
    return workflow;
  }

  function suspectOn(endpoint: string, ranMs: number, crashes = 3) {
    return startOn(buildWorkflow("suspect", {}, crashes), endpoint, ranMs);
  }

  vitest.it("is not stopped before it has run long enough", () => {
    const { young, old } = RAN_MS;
    vitest.expect(findVictims([suspectOn("worker-0", young, 2)]))
      .toEqual(["suspect"]);
    vitest.expect(findVictims([suspectOn("worker-0", young)])).toEqual([]);
    vitest.expect(findVictims([suspectOn("worker-0", old)]))
      .toEqual(["suspect"]);
  });

  vitest.it("is stopped only after all other tasks", () => {
    const other = startOn(buildWorkflow("other", {}), "worker-1", 50_000);
    const suspect = suspectOn("worker-0", RAN_MS.old);
    vitest.expect(findVictims([suspect, other])).toEqual(["other"]);
  });
});
