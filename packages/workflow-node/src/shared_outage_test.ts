/**
 * Leases while the coordinator can't reach the store. Runs go on through an outage that
 * affects all boxes; an isolated coordinator renews no leases
 * (isolated_coordinator_test.ts).
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 20_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Longer than a lease, in ms. */
const OUTAGE_MS = 9000;
/** Time in an outage after which the rows of all boxes seem expired, in ms. */
const ROWS_EXPIRE_MS = 55_000;

async function startRun(runMs = RUN_MS): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1], boxes: 5 });
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  await fleet.submit("node-1", ID, { steps: STEPS });
  await fleet.until(() => fleet.workers.runs.length === 1);
  await fleet.clock.advance(1000);
  return fleet;
}

/** Returns how the run ended in an outage for these boxes; null if it goes on. */
async function findEndAfter(
  fleet: TestUtils.TestFleet,
  boxes: readonly string[],
): Promise<string | null> {
  for (const name of boxes) fleet.faultsOf(name).set({ down: true });
  await fleet.clock.advance(OUTAGE_MS);
  for (const name of boxes) fleet.faultsOf(name).set({ down: false });
  fleet.workers.update();
  const [run] = fleet.workers.runs;
  return run.how;
}

vitest.describe("a run during an outage that is longer than a lease", () => {
  vitest.it("goes on if the store is unavailable to all boxes", async () => {
    const fleet = await startRun();
    const boxes = [...fleet.boxes.keys()];
    vitest.expect(await findEndAfter(fleet, boxes)).toBeNull();
    await fleet.stop();
  });

  vitest.it("goes on if one box of five is down as well", async () => {
    const fleet = await startRun();
    const [lost] = [...fleet.boxes.keys()].filter((name) =>
      name !== fleet.coordinator()
    );
    await fleet.kill(lost);
    const boxes = [...fleet.boxes.keys()];
    vitest.expect(await findEndAfter(fleet, boxes)).toBeNull();
    await fleet.stop();
  });

  vitest.it("goes on if the store rejects only the coordinator", async () => {
    const fleet = await startRun();
    const boxes = [fleet.coordinator() ?? ""];
    vitest.expect(await findEndAfter(fleet, boxes)).toBeNull();
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it("ends with its lease if the coordinator is isolated", async () => {
    const fleet = await startRun();
    const isolated = fleet.coordinator() ?? "";
    fleet.links.isReachable = (from, to) =>
      from !== isolated && to !== isolated;
    const boxes = [...fleet.boxes.keys()];
    vitest.expect(await findEndAfter(fleet, boxes)).toBe("lapsed");
    await fleet.stop();
  });

  vitest.it("ends with its lease if isolated after rows expired", async () => {
    const fleet = await startRun(2 * ROWS_EXPIRE_MS);
    const boxes = [...fleet.boxes.keys()];
    for (const name of boxes) fleet.faultsOf(name).set({ down: true });
    await fleet.clock.advance(ROWS_EXPIRE_MS);
    vitest.expect(fleet.workers.runs[0].how).toBeNull();
    const isolated = fleet.coordinator() ?? "";
    fleet.links.isReachable = (from, to) =>
      from !== isolated && to !== isolated;
    vitest.expect(await findEndAfter(fleet, boxes)).toBe("lapsed");
    await fleet.stop();
  });
});
