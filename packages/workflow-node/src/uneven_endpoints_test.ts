/**
 * Endpoints of different speeds: the coordinator learns the speeds and places urgent
 * work by them, and the next coordinator learns them again.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Types from "@cairngate/types";
import * as vitest from "vitest";

const SPEEDS = [0.6, 1.6, 0.6, 1.6, 0.6, 1.6];
const FAST = ["worker-1", "worker-3", "worker-5"];
const BATCH_MS = 2000;
const URGENT_MS = 1000;

interface DumpedWork {
  readonly workers: readonly { readonly id: string; readonly speed: number }[];
}

function createFleet(): TestUtils.TestFleet {
  const fleet = new TestUtils.TestFleet({
    workers: SPEEDS.map(() => 2),
    hardLoad: {
      competingTeams: Types.FeatureMode.Off,
      unevenEndpoints: Types.FeatureMode.On,
    },
  });
  fleet.workers.behave = (task, worker) => {
    const workMs = task.startsWith("b") ? BATCH_MS : URGENT_MS;
    const place = Number(worker.split("-")[1]);
    return { runMs: workMs / SPEEDS[place], fails: false };
  };
  return fleet;
}

/** Lists the endpoints with at least twice the learned speed of the slowest one. */
function listFast(fleet: TestUtils.TestFleet): readonly string[] {
  const { work } = fleet.box(fleet.coordinator() ?? "").dump();
  const { workers } = work as DumpedWork;
  const slowest = Math.min(...workers.map(({ speed }) => speed));
  return workers.filter(({ speed }) => speed >= 2 * slowest)
    .map(({ id }) => id);
}

/** Runs a batch on all endpoints and waits for its end. */
async function runBatch(
  fleet: TestUtils.TestFleet,
  id: string,
): Promise<void> {
  const steps = [TestUtils.buildStep({ count: 12, estimateMs: BATCH_MS })];
  const node = fleet.coordinator() ?? "";
  await fleet.submit(node, id, { priority: 2, steps });
  const isDone = () => fleet.state(id) === "completed";
  vitest.expect(await fleet.until(isDone, 20_000)).toBe(true);
}

/** Submits an urgent gang; returns the endpoints on which it runs. */
async function placeUrgent(
  fleet: TestUtils.TestFleet,
  id: string,
): Promise<readonly string[]> {
  const steps = [
    TestUtils.buildStep({ count: 2, gang: true, estimateMs: URGENT_MS }),
  ];
  await fleet.submit(fleet.coordinator() ?? "", id, { priority: 0, steps });
  const runs = () =>
    fleet.workers.runs.filter(({ task }) => task.startsWith(id));
  await fleet.until(() => runs().length === 2);
  return runs().map(({ worker }) => worker);
}

vitest.describe("uneven endpoints", () => {
  vitest.it(
    "are told apart after some runs, and urgent work uses the fast ones",
    async () => {
      const fleet = createFleet();
      await fleet.start();
      for (const id of ["b1", "b2", "b3"]) await runBatch(fleet, id);
      vitest.expect([...listFast(fleet)].sort()).toEqual(FAST);
      for (const worker of await placeUrgent(fleet, "u1")) {
        vitest.expect(FAST).toContain(worker);
      }
      await fleet.stop();
    },
  );

  vitest.it("are told apart again after the coordinator dies", async () => {
    const fleet = createFleet();
    await fleet.start();
    for (const id of ["b1", "b2", "b3"]) await runBatch(fleet, id);
    const first = fleet.coordinator();
    await fleet.kill(first ?? "");
    const hasTakenOver = () => ![null, first].includes(fleet.coordinator());
    vitest.expect(await fleet.until(hasTakenOver)).toBe(true);
    await fleet.clock.advance(1000);
    vitest.expect(listFast(fleet)).toEqual([]);
    vitest.expect(await placeUrgent(fleet, "u1")).toHaveLength(2);
    for (const id of ["b4", "b5", "b6"]) await runBatch(fleet, id);
    vitest.expect([...listFast(fleet)].sort()).toEqual(FAST);
    await fleet.stop();
  });
});
