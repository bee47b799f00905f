/** Which room is left free for urgent work, and who may use it. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as fleet from "./fleet.ts";
import * as arrivals from "./urgent_arrivals.ts";
import * as urgentRoom from "./urgent_room.ts";

const ACCELERATORS = 8;
/** Cores beside each accelerator. */
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

/** Ten endpoints in racks of two, each with work on some of its accelerators. */
function buildRooms(
  held: readonly (readonly [number, boolean])[],
): fleet.WorkerRoom[] {
  return held.map(([accelerators, checkpoints], i) => {
    const cpuMillis = accelerators * CORES_EACH * 1000;
    const step = { cpuMillis, accelerators, checkpoints };
    const workflow = buildWorkflow(2, step);
    const [task] = workflow.tasks;
    task.place(`worker-${i}`, 1, 0);
    return new fleet.WorkerRoom({
      id: `worker-${i}`,
      service: "analysis",
      dataCentre: "dc-1",
      rack: `rack-${Math.floor(i / 2)}`,
      labels: new Set(),
      total: { cpuMillis: 64_000, memoryMb: 64_000, accelerators: 8 },
      usable: true,
      speed: 1,
      occupants: accelerators > 0 ? [task] : [],
    });
  });
}

const FULL: readonly (readonly [number, boolean])[] = Array.from(
  { length: 10 },
  () => [ACCELERATORS, false] as const,
);

function idsOf(rooms: ReadonlySet<fleet.WorkerRoom>): string[] {
  return [...rooms].map(({ worker }) => worker.id);
}

vitest.describe("room for urgent work", () => {
  vitest.it(
    "is what comes during a stop and one wide unit, up to a share",
    () => {
      const wanted = (all: number) =>
        urgentRoom.wantedRoom(TRAFFIC, { all, stopMs: 200 });
      vitest.expect(wanted(1000)).toBe(10);
      vitest.expect(wanted(20)).toBe(3);
    },
  );

  vitest.it("is none without urgent traffic", () => {
    const now = { all: 1000, stopMs: 200 };
    const { NO_URGENT_TRAFFIC } = urgentRoom;
    vitest.expect(urgentRoom.wantedRoom(NO_URGENT_TRAFFIC, now)).toBe(0);
  });

  vitest.it("is that of the emptiest rack, cheap work counted as gone", () => {
    const rooms = buildRooms([
      ...FULL.slice(0, 4),
      [8, true],
      [8, true],
      ...FULL.slice(0, 3),
      [0, false],
    ]);
    const kept = urgentRoom.chooseRooms(rooms, TRAFFIC, 200);
    vitest.expect(idsOf(kept)).toEqual(["worker-4", "worker-5"]);
  });

  vitest.it("is none while much of the fleet is free", () => {
    const rooms = buildRooms(FULL.map(([, ck], i) => [i < 5 ? 8 : 0, ck]));
    vitest.expect(urgentRoom.chooseRooms(rooms, TRAFFIC, 200).size).toBe(0);
  });

  vitest.it("is none while much of the cores is free", () => {
    const rooms = buildRooms(FULL.map(([, ck], i) => [i < 6 ? 8 : 0, ck]));
    vitest.expect(urgentRoom.chooseRooms(rooms, TRAFFIC, 200).size).toBe(2);
    for (const { before } of rooms) {
      Object.assign(before, { cpuMillis: 64_000 });
    }
    vitest.expect(urgentRoom.chooseRooms(rooms, TRAFFIC, 200).size).toBe(0);
  });

  vitest.it("may be used by work that is urgent, or that stops cheaply", () => {
    const mayUse = (priority: number, checkpoints: boolean) => {
      const workflow = buildWorkflow(priority, { checkpoints });
      return urgentRoom.mayUse(workflow.readyUnits(0)[0]);
    };
    vitest.expect(mayUse(0, false)).toBe(true);
    vitest.expect(mayUse(2, true)).toBe(true);
    vitest.expect(mayUse(1, false)).toBe(false);
  });
});

vitest.describe("urgent arrivals", () => {
  vitest.it("are counted once each, and only the urgent ones", () => {
    const seen = new arrivals.UrgentArrivals();
    const urgent = buildWorkflow(0, { accelerators: 4, count: 2 });
    seen.note([urgent, buildWorkflow(1)]);
    seen.note([urgent]);
    const { service } = urgent.spec.policy;
    vitest.expect(seen.of(service, 1000)).toEqual({
      acceleratorsPerSecond: 1,
      wideAccelerators: 8,
    });
    vitest.expect(seen.of("another", 1000))
      .toEqual(urgentRoom.NO_URGENT_TRAFFIC);
  });

  vitest.it("are known at once after a takeover, by their acceptance", () => {
    const seen = new arrivals.UrgentArrivals();
    const urgent = buildWorkflow(0, { accelerators: 8 }, 5000);
    seen.note([urgent, buildWorkflow(0, { accelerators: 8 }, -9000)]);
    const { acceleratorsPerSecond } = seen.of(
      urgent.spec.policy.service,
      6000,
    );
    vitest.expect(acceleratorsPerSecond).toBe(1);
  });

  vitest.it("are forgotten", () => {
    const seen = new arrivals.UrgentArrivals();
    const urgent = buildWorkflow(0);
    seen.note([urgent]);
    vitest.expect(seen.of(urgent.spec.policy.service, 8000))
      .toEqual(urgentRoom.NO_URGENT_TRAFFIC);
  });
});
