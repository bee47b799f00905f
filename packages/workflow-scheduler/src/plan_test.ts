/** Tests plans over a few small endpoints. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import type * as fleet from "./fleet.ts";
import * as plans from "./plan.ts";

const RACK_SIZE = 2;
let ids = 0;

function buildWorkflow(
  options: {
    priority?: number;
    tenant?: string;
    step?: Partial<Workflow.StepSpec>;
    steps?: readonly Workflow.StepSpec[];
    acceptedAtMs?: number;
  } = {},
): Workflow.Workflow {
  const policy = TestUtils.buildAccess().queues[options.priority ?? 1];
  return new Workflow.Workflow({
    id: `workflow-${ids++}`,
    tenant: options.tenant ?? "hana",
    policy,
    payload: "",
    steps: options.steps ?? [TestUtils.buildStep(options.step)],
    schedule: null,
    acceptedAtMs: options.acceptedAtMs ?? 0,
  });
}

function buildEndpoints(
  sizes: readonly number[],
  tasksByIndex: Readonly<Record<number, readonly Workflow.Task[]>> = {},
): fleet.EndpointSnapshot[] {
  return sizes.map((accelerators, i) => ({
    id: `worker-${i}`,
    service: "analysis",
    rack: `rack-${Math.floor(i / RACK_SIZE)}`,
    labels: new Set(["a"]),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators },
    usable: true,
    dataCentre: "dc-1",
    speed: 1,
    tasks: tasksByIndex[i] ?? [],
  }));
}

function run(
  workflow: Workflow.Workflow,
  endpoint: string,
): readonly Workflow.Task[] {
  const placed = workflow.tasksOfStep(0, 0);
  for (const task of placed) {
    task.place(endpoint, 1, 0);
    task.state = Workflow.TaskState.Running;
  }
  return placed;
}

function plan(
  endpoints: readonly fleet.EndpointSnapshot[],
  workflows: readonly Workflow.Workflow[],
  options: {
    guarantees?: Record<string, number>;
    wallMs?: number;
    isAdvised?: plans.PlanInput["isAdvised"];
  } = {},
): plans.Plan {
  return plans.makePlan({
    endpoints,
    workflows,
    guarantees: new Map(Object.entries(options.guarantees ?? { hana: 100 })),
    nowMs: 1000,
    wallMs: options.wallMs ?? 0,
    remotePenalty: 3,
    isAdvised: options.isAdvised ?? (() => true),
  });
}

vitest.describe("makePlan", () => {
  vitest.it("starts all tasks of a gang or none", () => {
    const gang = buildWorkflow({ step: { count: 3, gang: true } });
    vitest.expect(plan(buildEndpoints([1, 1]), [gang]).starts).toEqual([]);
    const { starts } = plan(buildEndpoints([1, 1, 1]), [gang]);
    vitest.expect(starts.length).toBe(1);
    vitest.expect([...starts[0].endpointIds].sort()).toEqual([
      "worker-0",
      "worker-1",
      "worker-2",
    ]);
  });

  vitest.it("starts a step only after the steps before it", () => {
    const steps = [
      TestUtils.buildStep(),
      TestUtils.buildStep({ after: [0] }),
    ];
    const workflow = buildWorkflow({ steps });
    const endpoints = buildEndpoints([4]);
    const first = plan(endpoints, [workflow]).starts;
    vitest.expect(first.map(({ unit }) => unit.stepIndex)).toEqual([0]);
    workflow.tasksOfStep(0, 0)[0].state = Workflow.TaskState.Done;
    const second = plan(endpoints, [workflow]).starts;
    vitest.expect(second.map(({ unit }) => unit.stepIndex)).toEqual([1]);
  });

  vitest.it("waits for one rack to place a gang on it", () => {
    const gang = buildWorkflow({
      step: { count: 2, gang: true, sameRack: true, estimateMs: 1000 },
    });
    const busy = run(buildWorkflow({ priority: 2 }), "worker-0");
    const other = run(buildWorkflow({ priority: 2 }), "worker-2");
    const endpoints = buildEndpoints([1, 1, 1, 1], { 0: busy, 2: other });
    vitest.expect(plan(endpoints, [gang], { wallMs: 500 }).starts).toEqual([]);
    const late = plan(endpoints, [gang], { wallMs: 2500 }).starts;
    vitest.expect(late.length).toBe(1);
  });

  vitest.it("spreads a gang that is too large for any rack", () => {
    const gang = buildWorkflow({
      step: { count: 3, gang: true, sameRack: true },
    });
    vitest.expect(plan(buildEndpoints([1, 1, 1]), [gang]).starts.length).toBe(
      1,
    );
  });

  vitest.it("stops the cheapest work for urgent work", () => {
    const cheap = buildWorkflow({ priority: 2, step: { checkpoints: true } });
    const expensive = buildWorkflow({ priority: 2 });
    const endpoints = buildEndpoints([1, 1], {
      0: run(expensive, "worker-0"),
      1: run(cheap, "worker-1"),
    });
    const urgent = buildWorkflow({ priority: 0 });
    const { starts, stops } = plan(endpoints, [expensive, cheap, urgent]);
    vitest.expect(starts).toEqual([]);
    vitest.expect(stops.map(({ task }) => task)).toEqual(
      cheap.tasksOfStep(0, 0),
    );
    vitest.expect(stops[0].claimant.workflow).toBe(urgent);
  });

  vitest.it(
    "stops no further work while earlier stops free enough capacity",
    () => {
      const victim = buildWorkflow({ priority: 2 });
      const other = buildWorkflow({ priority: 2 });
      const stopping = run(victim, "worker-0");
      stopping[0].state = Workflow.TaskState.Stopping;
      const endpoints = buildEndpoints([1, 1], {
        0: stopping,
        1: run(other, "worker-1"),
      });
      const urgent = buildWorkflow({ priority: 0 });
      vitest.expect(plan(endpoints, [victim, other, urgent]).stops).toEqual([]);
    },
  );

  vitest.it(
    "reserves freed capacity for the urgent work that claims it",
    () => {
      const victim = buildWorkflow({ priority: 2 });
      const stopping = run(victim, "worker-0");
      stopping[0].state = Workflow.TaskState.Stopping;
      const small = buildWorkflow({ priority: 2 });
      const urgent = buildWorkflow({
        priority: 0,
        step: { accelerators: 2 },
      });
      const endpoints = buildEndpoints([2], { 0: stopping });
      vitest.expect(plan(endpoints, [victim, small, urgent]).starts).toEqual(
        [],
      );
    },
  );

  vitest.it("never stops work for work that is not urgent", () => {
    const low = buildWorkflow({ priority: 2 });
    const endpoints = buildEndpoints([1], { 0: run(low, "worker-0") });
    const middle = buildWorkflow({ priority: 1 });
    vitest.expect(plan(endpoints, [low, middle]).stops).toEqual([]);
  });

  vitest.it("stops urgent work beyond a guarantee for work within one", () => {
    const beyond = buildWorkflow({ priority: 0, tenant: "rival" });
    const endpoints = buildEndpoints([1], { 0: run(beyond, "worker-0") });
    const claim = buildWorkflow({ priority: 0, tenant: "hana" });
    const guarantees = { hana: 1, rival: 0 };
    const { stops } = plan(endpoints, [beyond, claim], { guarantees });
    vitest.expect(stops.map(({ task }) => task)).toEqual(
      beyond.tasksOfStep(0, 0),
    );
    const both = plan(endpoints, [beyond, claim], {
      guarantees: { hana: 1, rival: 1 },
    });
    vitest.expect(both.stops).toEqual([]);
  });

  vitest.it("loses no more work than it gains beyond a guarantee", () => {
    const gang = buildWorkflow({
      priority: 2,
      step: { count: 2, gang: true, estimateMs: 9000 },
    });
    const endpoints = buildEndpoints([1, 1]);
    const placed = gang.tasksOfStep(0, 0);
    placed.forEach((task, i) => {
      task.place(`worker-${i}`, 1, -8000);
      task.state = Workflow.TaskState.Running;
    });
    const busy = endpoints.map((w, i) => ({ ...w, tasks: [placed[i]] }));
    const urgent = buildWorkflow({ priority: 0, step: { estimateMs: 1000 } });
    const beyond = plan(busy, [gang, urgent], { guarantees: { hana: 0 } });
    vitest.expect(beyond.stops).toEqual([]);
    const within = plan(busy, [gang, urgent], { guarantees: { hana: 1 } });
    vitest.expect(within.stops.length).toBe(2);
    const large = buildWorkflow({ priority: 0, step: { estimateMs: 30_000 } });
    const worth = plan(busy, [gang, large], { guarantees: { hana: 0 } });
    vitest.expect(worth.stops.length).toBe(2);
  });

  vitest.it(
    "reserves the capacity with the earliest predicted end for a gang",
    () => {
      const runs = [5000, 1000].map((estimateMs) =>
        buildWorkflow({ priority: 2, step: { estimateMs } })
      );
      const filler = buildWorkflow({
        priority: 2,
        step: { estimateMs: 60_000 },
      });
      const [first] = run(runs[0], "worker-0");
      run(runs[1], "worker-1");
      // By its estimate worker-1 is free first; by its progress, worker-0 is.
      first.endsAtMs = 1100;
      const endpoints = buildEndpoints([2, 2, 1], {
        0: [first],
        1: runs[1].tasksOfStep(0, 0),
        2: run(filler, "worker-2"),
      });
      const gang = buildWorkflow({ step: { accelerators: 2, gang: true } });
      const later = buildWorkflow({ priority: 2 });
      const { starts } = plan(endpoints, [...runs, filler, gang, later]);
      vitest.expect(starts.map(({ endpointIds: [id] }) => id)).toEqual([
        "worker-1",
      ]);
    },
  );

  vitest.it("respects labels and limits per endpoint", () => {
    const labelled = buildWorkflow({ step: { label: "b" } });
    vitest.expect(plan(buildEndpoints([4]), [labelled]).starts).toEqual([]);
    const spread = buildWorkflow({ step: { count: 3, perWorker: 1 } });
    const { starts } = plan(buildEndpoints([4, 4]), [spread]);
    vitest.expect(starts.length).toBe(2);
  });

  vitest.it("starts nothing on unusable endpoints", () => {
    const endpoints = buildEndpoints([4]).map((w) => ({ ...w, usable: false }));
    vitest.expect(plan(endpoints, [buildWorkflow()]).starts).toEqual([]);
  });

  vitest.it("fills one rack before it uses the next", () => {
    const low = buildWorkflow({ priority: 2 });
    const endpoints = buildEndpoints([2, 2, 2, 2], { 3: run(low, "worker-3") });
    const next = buildWorkflow({ step: { count: 1 } });
    const { starts } = plan(endpoints, [low, next]);
    vitest.expect(starts[0].endpointIds[0]).toBe("worker-3");
  });

  vitest.it("reserves capacity for a waiting gang against later units", () => {
    const soon = buildWorkflow({ priority: 2, step: { estimateMs: 1000 } });
    const other = buildWorkflow({ priority: 2, step: { estimateMs: 1000 } });
    const endpoints = buildEndpoints([1, 1, 1], {
      0: run(soon, "worker-0"),
      1: run(other, "worker-1"),
    });
    const gang = buildWorkflow({ step: { count: 2, gang: true } });
    const small = buildWorkflow({ priority: 2 });
    const running = [soon, other];
    vitest.expect(plan(endpoints, [...running, gang, small]).starts).toEqual(
      [],
    );
    vitest.expect(plan(endpoints, [...running, small]).starts.length).toBe(1);
  });

  vitest.it("starts work that can end in time before work that cannot", () => {
    const late = buildWorkflow({ acceptedAtMs: -10_000 });
    const fresh = buildWorkflow({ acceptedAtMs: 0 });
    const { starts } = plan(buildEndpoints([1]), [late, fresh]);
    vitest.expect(starts[0].unit.workflow).toBe(fresh);
  });

  vitest.it("lets late urgent work evict only within its guarantee", () => {
    const low = buildWorkflow({ priority: 2 });
    const endpoints = buildEndpoints([1], { 0: run(low, "worker-0") });
    const urgent = buildWorkflow({ priority: 0, acceptedAtMs: -5000 });
    const beyond = plan(endpoints, [low, urgent], { guarantees: { hana: 0 } });
    vitest.expect(beyond.stops).toEqual([]);
    const inside = plan(endpoints, [low, urgent], { guarantees: { hana: 1 } });
    vitest.expect(inside.stops.length).toBe(1);
  });

  vitest.it(
    "waits only briefly for a rack while most of the fleet is free",
    () => {
      const low = buildWorkflow({ priority: 2 });
      const endpoints = buildEndpoints([1, 1, 1, 1, 1, 1], {
        0: run(low, "worker-0"),
      });
      const near = buildWorkflow({
        step: { rack: "rack-0", accelerators: 1, count: 2, estimateMs: 10_000 },
      });
      const early = plan(endpoints, [low, near], { wallMs: 500 }).starts;
      vitest.expect(early.length).toBe(1);
      const late = plan(endpoints, [low, near], { wallMs: 2500 }).starts;
      vitest.expect(late.length).toBe(2);
    },
  );

  vitest.it("reserves no capacity while most of the fleet is free", () => {
    const soon = buildWorkflow({ priority: 2, step: { estimateMs: 1000 } });
    const endpoints = buildEndpoints([1, 1, 1, 1], {
      0: run(soon, "worker-0"),
    });
    const gang = buildWorkflow({ step: { count: 4, gang: true } });
    const small = buildWorkflow({ priority: 2 });
    vitest.expect(plan(endpoints, [soon, gang, small]).starts.length).toBe(1);
  });

  vitest.it("leaves a lasting step the tasks that it needs", () => {
    const step = { count: 3, lasting: true, mayMiss: 1 };
    const serving = buildWorkflow({ priority: 2, step });
    const endpoints = buildEndpoints([3], { 0: run(serving, "worker-0") });
    const small = buildWorkflow({ priority: 0 });
    vitest.expect(plan(endpoints, [serving, small]).stops.length).toBe(1);
    const large = buildWorkflow({ priority: 0, step: { accelerators: 2 } });
    vitest.expect(plan(endpoints, [serving, large]).stops).toEqual([]);
  });

  vitest.it("stops work that still meets its objective after the stop", () => {
    // Both have run for 1 s of 2 s. Stopping `tight` loses less, but makes it late.
    const step = { estimateMs: 2000 };
    const tight = buildWorkflow({ priority: 2, step, acceptedAtMs: -1500 });
    const loose = buildWorkflow({
      priority: 2,
      step: { ...step, cpuMillis: 1500 },
      acceptedAtMs: 900,
    });
    const urgent = buildWorkflow({ priority: 0, acceptedAtMs: 1000 });
    const endpoints = buildEndpoints([1, 1], {
      0: run(tight, "worker-0"),
      1: run(loose, "worker-1"),
    });
    const { stops } = plan(endpoints, [tight, loose, urgent], { wallMs: 1000 });
    vitest.expect(stops.map(({ task }) => task.workflow)).toEqual([loose]);
  });
});
