/** Tests properties of the stops of plans for random fleets and work. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as fastCheck from "fast-check";
import * as vitest from "vitest";
import * as fleet from "./fleet.ts";
import * as hardLoads from "./hard_load.ts";
import * as placement from "./placement.ts";
import * as plans from "./plan.ts";
import * as stopRules from "./stop_rules.ts";
import * as waiting from "./wait_reason.ts";

const ENDPOINTS = 6;
const RACK_SIZE = 3;
const ACCELERATORS = 4;
const NOW_MS = 20_000;
/** Kinds of hard load with competing teams, with the endpoint speeds of each. */
const LOAD_KINDS = [
  { teamsCompete: true, endpointsDiffer: false, speeds: [1] },
  { teamsCompete: true, endpointsDiffer: true, speeds: [0.6, 1, 1.6] },
];

/** A randomly generated workflow. */
interface WorkflowDraw {
  readonly priority: number;
  readonly count: number;
  readonly accelerators: number;
  readonly gang: boolean;
  readonly checkpoints: boolean;
  readonly estimateMs: number;
  readonly ageMs: number;
  readonly stops: number;
  /** Index of the endpoint that is tried first for each task. */
  readonly endpoint: number;
}

const anyWorkflow: fastCheck.Arbitrary<WorkflowDraw> = fastCheck.record({
  priority: fastCheck.nat(2),
  count: fastCheck.integer({ min: 1, max: 4 }),
  accelerators: fastCheck.integer({ min: 1, max: ACCELERATORS }),
  gang: fastCheck.boolean(),
  checkpoints: fastCheck.boolean(),
  estimateMs: fastCheck.integer({ min: 500, max: 9000 }),
  ageMs: fastCheck.nat(4000),
  stops: fastCheck.nat(4),
  endpoint: fastCheck.nat(ENDPOINTS - 1),
});

const fleets = fastCheck.record({
  running: fastCheck.array(anyWorkflow, { maxLength: 14 }),
  waiting: fastCheck.array(anyWorkflow, { minLength: 1, maxLength: 6 }),
  guaranteed: fastCheck.nat(24),
  kind: fastCheck.constantFrom(...LOAD_KINDS),
  acceleratorsPerSecond: fastCheck.nat(20),
});

type FleetDraw = typeof fleets extends fastCheck.Arbitrary<infer W> ? W : never;

function buildWorkflow(one: WorkflowDraw, id: string): Workflow.Workflow {
  const { count, accelerators, gang, checkpoints, estimateMs } = one;
  const step = { count, accelerators, gang, checkpoints, estimateMs };
  const workflow = new Workflow.Workflow({
    id,
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[one.priority],
    payload: "",
    steps: [TestUtils.buildStep(step)],
    schedule: null,
    acceptedAtMs: NOW_MS - one.ageMs,
  });
  for (const task of workflow.tasks) task.preemptions = one.stops;
  return workflow;
}

interface Built {
  readonly input: plans.PlanInput;
  readonly endpoints: readonly fleet.EndpointSnapshot[];
}

function build(drawnFleet: FleetDraw, hardLoad?: hardLoads.HardLoad): Built {
  const tasksByEndpoint = Array.from(
    { length: ENDPOINTS },
    (): Workflow.Task[] => [],
  );
  const running = drawnFleet.running.flatMap((one, i) => {
    const workflow = buildWorkflow(one, `running-${i}`);
    return placeAll(workflow, one, tasksByEndpoint) ? [workflow] : [];
  });
  const waitingWork = drawnFleet.waiting.map((one, i) =>
    buildWorkflow(one, `waiting-${i}`)
  );
  const endpoints = tasksByEndpoint.map((tasks, i) => ({
    id: `worker-${i}`,
    service: "analysis",
    dataCentre: "dc-1",
    rack: `rack-${Math.floor(i / RACK_SIZE)}`,
    labels: new Set<string>(),
    total: {
      cpuMillis: 64_000,
      memoryMb: 64_000,
      accelerators: ACCELERATORS,
    },
    usable: true,
    speed: drawnFleet.kind.speeds[i % drawnFleet.kind.speeds.length],
    tasks,
  }));
  const { acceleratorsPerSecond } = drawnFleet;
  const input = {
    endpoints,
    workflows: [...running, ...waitingWork],
    guarantees: new Map([["hana", drawnFleet.guaranteed]]),
    nowMs: NOW_MS,
    wallMs: NOW_MS,
    remotePenalty: 3,
    isAdvised: () => true,
    hardLoad,
    stopMs: 200,
    urgentTraffic: () => ({ acceleratorsPerSecond, wideAccelerators: 4 }),
  };
  return { input, endpoints };
}

/** Places all tasks of a workflow; false if they do not fit. */
function placeAll(
  workflow: Workflow.Workflow,
  { endpoint, ageMs }: WorkflowDraw,
  tasksByEndpoint: readonly Workflow.Task[][],
): boolean {
  const used = tasksByEndpoint.map((tasks) =>
    tasks.reduce((sum, { step }) => sum + step.accelerators, 0)
  );
  const tasks = [...workflow.tasks];
  const places: number[] = [];
  for (const { step } of tasks) {
    const offset = tasksByEndpoint.findIndex((_, i) =>
      used[(endpoint + i) % ENDPOINTS] + step.accelerators <= ACCELERATORS
    );
    if (offset < 0) return false;
    const place = (endpoint + offset) % ENDPOINTS;
    used[place] += step.accelerators;
    places.push(place);
  }
  tasks.forEach((task, i) => {
    task.place(`worker-${places[i]}`, 1, NOW_MS - ageMs);
    task.state = Workflow.TaskState.Running;
    tasksByEndpoint[places[i]].push(task);
  });
  return true;
}

/** Describes a plan by names, for comparison. */
function describePlan({ starts, stops, waits }: plans.Plan) {
  const nameOf = (unit: Workflow.Unit) => unit.tasks[0].name;
  return {
    starts: starts.map((
      { unit, endpointIds },
    ) => [nameOf(unit), ...endpointIds]),
    stops: stops.map(({ task, claimant }) => [task.name, nameOf(claimant)]),
    waits: waits.map(({ unit, reason }) => [nameOf(unit), reason]),
  };
}

/** Whether a unit fits once the given tasks have stopped. */
function fitsWithout(
  unit: Workflow.Unit,
  { endpoints: snapshots }: Built,
  stoppedTasks: ReadonlySet<Workflow.Task>,
): boolean {
  const endpoints = snapshots.map((state) =>
    new fleet.Endpoint({
      ...state,
      tasks: state.tasks.filter((task) => !stoppedTasks.has(task)),
    })
  );
  return placement.findAmong(unit, endpoints, placement.freeNow) !== null;
}

const isSpared = (task: Workflow.Task) =>
  stopRules.isSpared(
    task.step.gang ? task.workflow.siblings(task) : [task],
  );

vitest.describe("stops of a plan under hard load", () => {
  vitest.it("free enough capacity for their claimant in the same plan", () => {
    fastCheck.assert(fastCheck.property(fleets, (drawnFleet) => {
      const built = build(drawnFleet, drawnFleet.kind);
      const { stops, waits } = plans.makePlan(built.input);
      const stoppedTasks = new Set(stops.map(({ task }) => task));
      for (const { claimant } of stops) {
        const wait = waits.find(({ unit }) => unit === claimant);
        vitest.expect(wait?.reason).toBe(waiting.WaitReason.Stops);
        vitest.expect(fitsWithout(claimant, built, stoppedTasks)).toBe(true);
      }
    }));
  });

  vitest.it(
    "free enough capacity for all claimants and starts together",
    () => {
      fastCheck.assert(fastCheck.property(fleets, (drawnFleet) => {
        const built = build(drawnFleet, drawnFleet.kind);
        const { starts, stops, waits } = plans.makePlan(built.input);
        const stoppedTasks = new Set(stops.map(({ task }) => task));
        const left = built.endpoints.flatMap(({ tasks }) => tasks)
          .filter((task) => !stoppedTasks.has(task));
        const claimants = waits
          .filter(({ reason }) => reason === waiting.WaitReason.Stops)
          .map(({ unit }) => unit);
        const needs = [...starts.map(({ unit }) => unit), ...claimants]
          .reduce(
            (sum, { step, tasks }) => sum + step.accelerators * tasks.length,
            0,
          );
        const held = left.reduce((sum, { step }) => sum + step.accelerators, 0);
        vitest.expect(needs + held).toBeLessThanOrEqual(
          ENDPOINTS * ACCELERATORS,
        );
      }));
    },
  );

  vitest.it(
    "spare a task that was stopped often, except for guarantees",
    () => {
      fastCheck.assert(fastCheck.property(fleets, (drawnFleet) => {
        const built = build({ ...drawnFleet, guaranteed: 0 }, drawnFleet.kind);
        const { stops } = plans.makePlan(built.input);
        vitest.expect(stops.filter(({ task }) => isSpared(task))).toEqual([]);
      }));
    },
  );

  vitest.it(
    "include such a task if a guarantee has no other way",
    () => {
      // Only one guaranteed unit waits, so nothing else is planned before it.
      const oneGuaranteed = fleets.map((drawnFleet) => ({
        ...drawnFleet,
        waiting: drawnFleet.waiting.slice(0, 1).map((one) => ({
          ...one,
          gang: true,
        })),
        guaranteed: 1000,
      }));
      fastCheck.assert(fastCheck.property(oneGuaranteed, (drawnFleet) => {
        const built = build(drawnFleet, drawnFleet.kind);
        const { stops } = plans.makePlan(built.input);
        if (!stops.some(({ task }) => isSpared(task))) return;
        const others = built.endpoints.flatMap(({ tasks }) => tasks)
          .filter((task) =>
            !isSpared(task) && task.workflow.spec.policy.priority > 0
          );
        const [{ claimant }] = stops;
        vitest.expect(fitsWithout(claimant, built, new Set(others))).toBe(
          false,
        );
      }));
    },
  );
});

vitest.describe("a plan where teams do not compete", () => {
  const loads = fastCheck.constantFrom(
    hardLoads.NO_HARD_LOAD,
    { teamsCompete: false, endpointsDiffer: true },
  );

  vitest.it(
    "does not depend on earlier stops, stop time or urgent traffic",
    () => {
      fastCheck.assert(fastCheck.property(fleets, loads, (drawnFleet, load) => {
        const known = build(drawnFleet, load).input;
        const withoutStops = build({
          ...drawnFleet,
          running: drawnFleet.running.map((one) => ({ ...one, stops: 0 })),
          waiting: drawnFleet.waiting.map((one) => ({ ...one, stops: 0 })),
        }, load.endpointsDiffer ? load : undefined).input;
        const { stopMs: _, urgentTraffic: __, ...withoutStopSettings } =
          withoutStops;
        vitest.expect(describePlan(plans.makePlan(known)))
          .toEqual(describePlan(plans.makePlan(withoutStopSettings)));
      }));
    },
  );
});
