/** Tests which capacity is reserved for urgent work and which work may use it. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as fleet from "./fleet.ts";
import * as urgentArrivals from "./urgent_arrivals.ts";
import * as reserveSize from "./reserve_size.ts";

const ACCELERATORS = 8;
/** Cores of a task for each of its accelerators. */
const CORES_EACH = 8;
const TRAFFIC = { acceleratorsPerSecond: 10, wideAccelerators: 8 };
let ids = 0;

function buildWorkflow(
  priority: number,
  step: Partial<Workflow.StepSpec> = {},
  acceptedAtMs = 0,
): Workflow.Workflow {
  return new Workflow.Workflow({
    id: `workflow-${ids++}`,
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[priority],
    payload: "",
    steps: [TestUtils.buildStep(step)],
    schedule: null,
    acceptedAtMs,
  });
}

/** Builds endpoints in racks of two, each with one task unless its count is 0. */
function buildEndpoints(
  occupancy: readonly (readonly [number, boolean])[],
): fleet.Endpoint[] {
  return occupancy.map(([accelerators, checkpoints], i) => {
    const cpuMillis = accelerators * CORES_EACH * 1000;
    const step = { cpuMillis, accelerators, checkpoints };
    const workflow = buildWorkflow(2, step);
    const [task] = workflow.tasks;
    task.place(`worker-${i}`, 1, 0);
    return new fleet.Endpoint({
      id: `worker-${i}`,
      service: "analysis",
      dataCentre: "dc-1",
      rack: `rack-${Math.floor(i / 2)}`,
      labels: new Set(),
      total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8 },
      usable: true,
      speed: 1,
      tasks: accelerators > 0 ? [task] : [],
    });
  });
}

const FULLY_OCCUPIED: readonly (readonly [number, boolean])[] = Array.from(
  { length: 10 },
  () => [ACCELERATORS, false] as const,
);

function idsOf(endpoints: ReadonlySet<fleet.Endpoint>): string[] {
  return [...endpoints].map(({ state }) => state.id);
}

vitest.describe("capacity reserved for urgent work", () => {
  vitest.it(
    "covers arrivals during a stop and one wide workflow, up to a limit",
    () => {
      const targetFor = (all: number) =>
        reserveSize.targetAccelerators(TRAFFIC, { total: all, stopMs: 200 });
      vitest.expect(targetFor(1000)).toBe(10);
      vitest.expect(targetFor(20)).toBe(3);
    },
  );

  vitest.it("is 0 without urgent traffic", () => {
    const now = { total: 1000, stopMs: 200 };
    const { NO_URGENT_TRAFFIC } = reserveSize;
    vitest.expect(reserveSize.targetAccelerators(NO_URGENT_TRAFFIC, now)).toBe(
      0,
    );
  });

  vitest.it(
    "is on the emptiest rack, not counting work that is cheap to stop",
    () => {
      const endpoints = buildEndpoints([
        ...FULLY_OCCUPIED.slice(0, 4),
        [8, true],
        [8, true],
        ...FULLY_OCCUPIED.slice(0, 3),
        [0, false],
      ]);
      const kept = reserveSize.chooseReserved(endpoints, TRAFFIC, 200);
      vitest.expect(idsOf(kept)).toEqual(["worker-4", "worker-5"]);
    },
  );

  vitest.it("is 0 while much of the fleet is free", () => {
    const endpoints = buildEndpoints(
      FULLY_OCCUPIED.map(([, ck], i) => [i < 5 ? 8 : 0, ck]),
    );
    vitest.expect(reserveSize.chooseReserved(endpoints, TRAFFIC, 200).size)
      .toBe(0);
  });

  vitest.it("is 0 while many of the cores are free", () => {
    const endpoints = buildEndpoints(
      FULLY_OCCUPIED.map(([, ck], i) => [i < 6 ? 8 : 0, ck]),
    );
    vitest.expect(reserveSize.chooseReserved(endpoints, TRAFFIC, 200).size)
      .toBe(2);
    for (const { freeAtStart: before } of endpoints) {
      Object.assign(before, { cpuMillis: 64_000 });
    }
    vitest.expect(reserveSize.chooseReserved(endpoints, TRAFFIC, 200).size)
      .toBe(0);
  });

  vitest.it("may be used by work that is urgent or cheap to stop", () => {
    const mayUse = (priority: number, checkpoints: boolean) => {
      const workflow = buildWorkflow(priority, { checkpoints });
      return reserveSize.mayUseReserve(workflow.readyUnits(0)[0]);
    };
    vitest.expect(mayUse(0, false)).toBe(true);
    vitest.expect(mayUse(2, true)).toBe(true);
    vitest.expect(mayUse(1, false)).toBe(false);
  });
});

vitest.describe("urgent arrivals", () => {
  vitest.it("are counted once each and only if urgent", () => {
    const arrivals = new urgentArrivals.UrgentArrivals();
    const urgent = buildWorkflow(0, { accelerators: 4, count: 2 });
    arrivals.record([urgent, buildWorkflow(1)]);
    arrivals.record([urgent]);
    const { service } = urgent.spec.policy;
    vitest.expect(arrivals.trafficOf(service, 1000)).toEqual({
      acceleratorsPerSecond: 1,
      wideAccelerators: 8,
    });
    vitest.expect(arrivals.trafficOf("another", 1000))
      .toEqual(reserveSize.NO_URGENT_TRAFFIC);
  });

  vitest.it("are counted by acceptance time after a takeover", () => {
    const arrivals = new urgentArrivals.UrgentArrivals();
    const urgent = buildWorkflow(0, { accelerators: 8 }, 5000);
    arrivals.record([urgent, buildWorkflow(0, { accelerators: 8 }, -9000)]);
    const { acceleratorsPerSecond } = arrivals.trafficOf(
      urgent.spec.policy.service,
      6000,
    );
    vitest.expect(acceleratorsPerSecond).toBe(1);
  });

  vitest.it("expire", () => {
    const arrivals = new urgentArrivals.UrgentArrivals();
    const urgent = buildWorkflow(0);
    arrivals.record([urgent]);
    vitest.expect(arrivals.trafficOf(urgent.spec.policy.service, 8000))
      .toEqual(reserveSize.NO_URGENT_TRAFFIC);
  });
});
