/**
 * Guards against lost runs whose records are read late in a takeover, after the new
 * coordinator has detected the end of their endpoint, or after the endpoint is both
 * unreachable and unlisted.
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const FIRST_ID = "a000000000000001";
const HOME_PARTITION = TableClient.Keys.homePartition(FIRST_ID);
/** An id of another partition. */
const SECOND_ID = ["a000000000000002", "a000000000000003", "a000000000000004"]
  .filter((id) => TableClient.Keys.homePartition(id) !== HOME_PARTITION)[0];
const { Completed } = Workflow.WorkflowState;
const TIMEOUT_MS = 120_000;
const RUN_MS = 20_000;

function setDown(fleet: TestUtils.TestFleet, ...partitions: string[]): void {
  for (const name of fleet.boxes.keys()) {
    fleet.faultsOf(name).set({ downPartitions: partitions });
  }
}

/** Replaces the coordinator while the home is unavailable; returns the endpoint. */
async function takeOverWithoutHome(
  fleet: TestUtils.TestFleet,
  ids: readonly string[],
): Promise<string> {
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  const steps = [TestUtils.buildStep({ estimateMs: RUN_MS })];
  for (const id of ids) await fleet.submit("node-1", id, { steps });
  await fleet.until(() => fleet.workers.runs.length === ids.length);
  const [{ worker }] = fleet.workers.runsOf(`${FIRST_ID}.0.0.0`);
  setDown(fleet, HOME_PARTITION);
  await fleet.kill(fleet.coordinator() ?? "");
  await fleet.clock.advance(4000);
  return worker;
}

vitest.describe("a run whose record is read late", () => {
  vitest.it(
    "starts again if its endpoint's end was detected before",
    async () => {
      const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
      fleet.restartDelayMs = 1000;
      fleet.entryOverlapMs = 3000;
      const worker = await takeOverWithoutHome(fleet, [FIRST_ID]);
      fleet.workers.crash(worker);
      await fleet.clock.advance(2500);
      setDown(fleet);
      const isDone = await fleet.until(
        () => fleet.state(FIRST_ID) === Completed,
        TIMEOUT_MS,
      );
      vitest.expect(fleet.workers.runsOf(`${FIRST_ID}.0.0.0`).length).toBe(2);
      vitest.expect(isDone).toBe(true);
      await fleet.stop();
    },
  );

  vitest.it("starts again if its endpoint was gone before", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [2, 2] });
    // Both tasks run on one endpoint, because the other one is listed later.
    fleet.unlist("worker-1");
    const worker = await takeOverWithoutHome(fleet, [FIRST_ID, SECOND_ID]);
    fleet.workers.onCrash = () => {};
    fleet.list({ id: "worker-1", accelerators: 2 }, 1);
    fleet.workers.crash(worker);
    await fleet.clock.advance(4500);
    fleet.unlist(worker);
    await fleet.until(() =>
      fleet.workers.runsOf(`${SECOND_ID}.0.0.0`).length === 2
    );
    await fleet.clock.advance(6000);
    setDown(fleet);
    const isDone = await fleet.until(
      () => fleet.state(FIRST_ID) === Completed,
      TIMEOUT_MS,
    );
    vitest.expect(fleet.workers.runsOf(`${SECOND_ID}.0.0.0`).length).toBe(2);
    vitest.expect(fleet.workers.runsOf(`${FIRST_ID}.0.0.0`).length).toBe(2);
    vitest.expect(isDone).toBe(true);
    await fleet.stop();
  });
});
