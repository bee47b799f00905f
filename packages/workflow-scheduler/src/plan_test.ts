/** Plans over a few small workers. */
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

function buildWorkers(
  sizes: readonly number[],
  occupants: Readonly<Record<number, readonly Workflow.Task[]>> = {},
): fleet.WorkerState[] {
  return sizes.map((accelerators, i) => ({
    id: `worker-${i}`,
    service: "analysis",
    rack: `rack-${Math.floor(i / RACK_SIZE)}`,
    labels: new Set(["a"]),
    total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators },
    usable: true,
    dataCentre: "dc-1",
    speed: 1,
    occupants: occupants[i] ?? [],
  }));
}

function run(
  workflow: Workflow.Workflow,
  worker: string,
): readonly Workflow.Task[] {
  const placed = workflow.rounds[0][0];
  for (const task of placed) {
    task.place(worker, 1, 0);
    task.state = Workflow.TaskState.Running;
  }
  return placed;
}

function plan(
  workers: readonly fleet.WorkerState[],
  workflows: readonly Workflow.Workflow[],
  options: {
    guarantees?: Record<string, number>;
    wallMs?: number;
    isAdvised?: plans.PlanInput["isAdvised"];
  } = {},
): plans.Plan {
  return plans.makePlan({
    workers,
    workflows,
    guarantees: new Map(Object.entries(options.guarantees ?? { hana: 100 })),
    nowMs: 1000,
    wallMs: options.wallMs ?? 0,
    remotePenalty: 3,
    isAdvised: options.isAdvised ?? (() => true),
  });
}

vitest.describe("makePlan", () => {
  vitest.it("starts a gang whole or not at all", () => {
    const gang = buildWorkflow({ step: { count: 3, gang: true } });
    vitest.expect(plan(buildWorkers([1, 1]), [gang]).starts).toEqual([]);
    const { starts } = plan(buildWorkers([1, 1, 1]), [gang]);
    vitest.expect(starts.length).toBe(1);
    vitest.expect([...starts[0].workers].sort()).toEqual([
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
    const workers = buildWorkers([4]);
    const first = plan(workers, [workflow]).starts;
    vitest.expect(first.map(({ unit }) => unit.stepIndex)).toEqual([0]);
    workflow.rounds[0][0][0].state = Workflow.TaskState.Done;
    const second = plan(workers, [workflow]).starts;
    vitest.expect(second.map(({ unit }) => unit.stepIndex)).toEqual([1]);
  });

  vitest.it("keeps a gang of one rack together and waits for it", () => {
    const gang = buildWorkflow({
      step: { count: 2, gang: true, sameRack: true, estimateMs: 1000 },
    });
    const busy = run(buildWorkflow({ priority: 2 }), "worker-0");
    const other = run(buildWorkflow({ priority: 2 }), "worker-2");
    const workers = buildWorkers([1, 1, 1, 1], { 0: busy, 2: other });
    vitest.expect(plan(workers, [gang], { wallMs: 500 }).starts).toEqual([]);
    const late = plan(workers, [gang], { wallMs: 2500 }).starts;
    vitest.expect(late.length).toBe(1);
  });

  vitest.it("spreads a gang that no rack could ever hold", () => {
    const gang = buildWorkflow({
      step: { count: 3, gang: true, sameRack: true },
    });
    vitest.expect(plan(buildWorkers([1, 1, 1]), [gang]).starts.length).toBe(1);
  });

  vitest.it("lets urgent work make other work yield, cheapest first", () => {
    const cheap = buildWorkflow({ priority: 2, step: { checkpoints: true } });
    const expensive = buildWorkflow({ priority: 2 });
    const workers = buildWorkers([1, 1], {
      0: run(expensive, "worker-0"),
      1: run(cheap, "worker-1"),
    });
    const urgent = buildWorkflow({ priority: 0 });
    const { starts, stops } = plan(workers, [expensive, cheap, urgent]);
    vitest.expect(starts).toEqual([]);
    vitest.expect(stops.map(({ task }) => task)).toEqual(cheap.rounds[0][0]);
    vitest.expect(stops[0].claimant.workflow).toBe(urgent);
  });

  vitest.it("stops nothing more while earlier stops make room", () => {
    const victim = buildWorkflow({ priority: 2 });
    const other = buildWorkflow({ priority: 2 });
    const stopping = run(victim, "worker-0");
    stopping[0].state = Workflow.TaskState.Stopping;
    const workers = buildWorkers([1, 1], {
      0: stopping,
      1: run(other, "worker-1"),
    });
    const urgent = buildWorkflow({ priority: 0 });
    vitest.expect(plan(workers, [victim, other, urgent]).stops).toEqual([]);
  });

  vitest.it("keeps freed room for the urgent work that claims it", () => {
    const victim = buildWorkflow({ priority: 2 });
    const stopping = run(victim, "worker-0");
    stopping[0].state = Workflow.TaskState.Stopping;
    const small = buildWorkflow({ priority: 2 });
    const urgent = buildWorkflow({
      priority: 0,
      step: { accelerators: 2 },
    });
    const workers = buildWorkers([2], { 0: stopping });
    vitest.expect(plan(workers, [victim, small, urgent]).starts).toEqual([]);
  });

  vitest.it("never makes work yield for work that is not urgent", () => {
    const low = buildWorkflow({ priority: 2 });
    const workers = buildWorkers([1], { 0: run(low, "worker-0") });
    const middle = buildWorkflow({ priority: 1 });
    vitest.expect(plan(workers, [low, middle]).stops).toEqual([]);
  });

  vitest.it("reclaims a guarantee from urgent work beyond another's", () => {
    const beyond = buildWorkflow({ priority: 0, tenant: "rival" });
    const workers = buildWorkers([1], { 0: run(beyond, "worker-0") });
    const claim = buildWorkflow({ priority: 0, tenant: "hana" });
    const guarantees = { hana: 1, rival: 0 };
    const { stops } = plan(workers, [beyond, claim], { guarantees });
    vitest.expect(stops.map(({ task }) => task)).toEqual(beyond.rounds[0][0]);
    const both = plan(workers, [beyond, claim], {
      guarantees: { hana: 1, rival: 1 },
    });
    vitest.expect(both.stops).toEqual([]);
  });

  vitest.it("throws away no more than it brings beyond a guarantee", () => {
    const gang = buildWorkflow({
      priority: 2,
      step: { count: 2, gang: true, estimateMs: 9000 },
    });
    const workers = buildWorkers([1, 1]);
    const placed = gang.rounds[0][0];
    placed.forEach((task, i) => {
      task.place(`worker-${i}`, 1, -8000);
      task.state = Workflow.TaskState.Running;
    });
    const busy = workers.map((w, i) => ({ ...w, occupants: [placed[i]] }));
    const urgent = buildWorkflow({ priority: 0, step: { estimateMs: 1000 } });
    const beyond = plan(busy, [gang, urgent], { guarantees: { hana: 0 } });
    vitest.expect(beyond.stops).toEqual([]);
    const within = plan(busy, [gang, urgent], { guarantees: { hana: 1 } });
    vitest.expect(within.stops.length).toBe(2);
    const large = buildWorkflow({ priority: 0, step: { estimateMs: 30_000 } });
    const worth = plan(busy, [gang, large], { guarantees: { hana: 0 } });
    vitest.expect(worth.stops.length).toBe(2);
  });

  vitest.it("keeps for a gang the room that is free first by its pace", () => {
    const runs = [5000, 1000].map((estimateMs) =>
      buildWorkflow({ priority: 2, step: { estimateMs } })
    );
    const filler = buildWorkflow({ priority: 2, step: { estimateMs: 60_000 } });
    const [first] = run(runs[0], "worker-0");
    run(runs[1], "worker-1");
    // The estimate says worker-1; the pace says that worker-0 is free first.
    first.endsAtMs = 1100;
    const workers = buildWorkers([2, 2, 1], {
      0: [first],
      1: runs[1].rounds[0][0],
      2: run(filler, "worker-2"),
    });
    const gang = buildWorkflow({ step: { accelerators: 2, gang: true } });
    const later = buildWorkflow({ priority: 2 });
    const { starts } = plan(workers, [...runs, filler, gang, later]);
    vitest.expect(starts.map(({ workers: [id] }) => id)).toEqual(["worker-1"]);
  });

  vitest.it("holds to labels and to limits per worker", () => {
    const labelled = buildWorkflow({ step: { label: "b" } });
    vitest.expect(plan(buildWorkers([4]), [labelled]).starts).toEqual([]);
    const spread = buildWorkflow({ step: { count: 3, perWorker: 1 } });
    const { starts } = plan(buildWorkers([4, 4]), [spread]);
    vitest.expect(starts.length).toBe(2);
  });

  vitest.it("leaves workers alone that are not usable", () => {
    const workers = buildWorkers([4]).map((w) => ({ ...w, usable: false }));
    vitest.expect(plan(workers, [buildWorkflow()]).starts).toEqual([]);
  });

  vitest.it("fills one rack before it opens the next", () => {
    const low = buildWorkflow({ priority: 2 });
    const workers = buildWorkers([2, 2, 2, 2], { 3: run(low, "worker-3") });
    const next = buildWorkflow({ step: { count: 1 } });
    const { starts } = plan(workers, [low, next]);
    vitest.expect(starts[0].workers[0]).toBe("worker-3");
  });

  vitest.it("keeps room for a waiting gang from later units", () => {
    const soon = buildWorkflow({ priority: 2, step: { estimateMs: 1000 } });
    const other = buildWorkflow({ priority: 2, step: { estimateMs: 1000 } });
    const workers = buildWorkers([1, 1, 1], {
      0: run(soon, "worker-0"),
      1: run(other, "worker-1"),
    });
    const gang = buildWorkflow({ step: { count: 2, gang: true } });
    const small = buildWorkflow({ priority: 2 });
    const running = [soon, other];
    vitest.expect(plan(workers, [...running, gang, small]).starts).toEqual([]);
    vitest.expect(plan(workers, [...running, small]).starts.length).toBe(1);
  });

  vitest.it("takes what can still end in time before what cannot", () => {
    const late = buildWorkflow({ acceptedAtMs: -10_000 });
    const fresh = buildWorkflow({ acceptedAtMs: 0 });
    const { starts } = plan(buildWorkers([1]), [late, fresh]);
    vitest.expect(starts[0].unit.workflow).toBe(fresh);
  });

  vitest.it("lets late urgent work claim only inside its guarantee", () => {
    const low = buildWorkflow({ priority: 2 });
    const workers = buildWorkers([1], { 0: run(low, "worker-0") });
    const urgent = buildWorkflow({ priority: 0, acceptedAtMs: -5000 });
    const beyond = plan(workers, [low, urgent], { guarantees: { hana: 0 } });
    vitest.expect(beyond.stops).toEqual([]);
    const inside = plan(workers, [low, urgent], { guarantees: { hana: 1 } });
    vitest.expect(inside.stops.length).toBe(1);
  });

  vitest.it(
    "does not wait long for its rack while most of the fleet is free",
    () => {
      const low = buildWorkflow({ priority: 2 });
      const workers = buildWorkers([1, 1, 1, 1, 1, 1], {
        0: run(low, "worker-0"),
      });
      const near = buildWorkflow({
        step: { rack: "rack-0", accelerators: 1, count: 2, estimateMs: 10_000 },
      });
      const early = plan(workers, [low, near], { wallMs: 500 }).starts;
      vitest.expect(early.length).toBe(1);
      const late = plan(workers, [low, near], { wallMs: 2500 }).starts;
      vitest.expect(late.length).toBe(2);
    },
  );

  vitest.it("keeps no room ahead while most of the fleet is free", () => {
    const soon = buildWorkflow({ priority: 2, step: { estimateMs: 1000 } });
    const workers = buildWorkers([1, 1, 1, 1], { 0: run(soon, "worker-0") });
    const gang = buildWorkflow({ step: { count: 4, gang: true } });
    const small = buildWorkflow({ priority: 2 });
    vitest.expect(plan(workers, [soon, gang, small]).starts.length).toBe(1);
  });

  vitest.it("leaves a lasting step as many tasks as it needs", () => {
    const step = { count: 3, lasting: true, mayMiss: 1 };
    const serving = buildWorkflow({ priority: 2, step });
    const workers = buildWorkers([3], { 0: run(serving, "worker-0") });
    const small = buildWorkflow({ priority: 0 });
    vitest.expect(plan(workers, [serving, small]).stops.length).toBe(1);
    const large = buildWorkflow({ priority: 0, step: { accelerators: 2 } });
    vitest.expect(plan(workers, [serving, large]).stops).toEqual([]);
  });

  vitest.it("stops what can still be in time, not what then is late", () => {
    // Both have run for 1 s of 2 s. The first has lost less work, and no time left.
    const step = { estimateMs: 2000 };
    const tight = buildWorkflow({ priority: 2, step, acceptedAtMs: -1500 });
    const loose = buildWorkflow({
      priority: 2,
      step: { ...step, cpuMillis: 1500 },
      acceptedAtMs: 900,
    });
    const urgent = buildWorkflow({ priority: 0, acceptedAtMs: 1000 });
    const workers = buildWorkers([1, 1], {
      0: run(tight, "worker-0"),
      1: run(loose, "worker-1"),
    });
    const { stops } = plan(workers, [tight, loose, urgent], { wallMs: 1000 });
    vitest.expect(stops.map(({ task }) => task.workflow)).toEqual([loose]);
  });
});
