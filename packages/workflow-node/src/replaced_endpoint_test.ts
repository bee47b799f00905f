/** An endpoint that crashes again before the first crash is recorded. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const BLOCKED_ID = "a000000000000001";
/** Duration of a run, in ms: longer than two crashes and restarts of 3 s each. */
const RUN_MS = 6000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];

/** Finds the partition that stores the progress of a workflow. */
function partitionOf(fleet: TestUtils.TestFleet, id: string): string {
  const [row] = fleet.table.rowsUnder("progress:")
    .filter(({ key }) => key.endsWith(`/${id}`));
  return row.key.slice("progress:".length).split("/")[0];
}

/** Starts a workflow that is stored in another partition, on the newest incarnation. */
async function runElsewhere(
  fleet: TestUtils.TestFleet,
  partition: string,
): Promise<string> {
  for (let i = 2; i < 20; i++) {
    const id = `a${String(i).padStart(15, "0")}`;
    const isAccepted = await fleet.submit("node-2", id, { steps: STEPS }).then(
      () => true,
      () => false,
    );
    if (!isAccepted) continue;
    const task = `${id}.0.0.0`;
    const isStarted = () => fleet.workers.runsOf(task).length > 0;
    if (await fleet.until(isStarted, 2000)) {
      vitest.expect(partitionOf(fleet, id)).not.toBe(partition);
      return task;
    }
  }
  throw new RangeError("no workflow in another partition has started");
}

vitest.describe(
  "an endpoint that crashes twice while writes of records fail",
  () => {
    vitest.it("keeps the runs of its newest incarnation", async () => {
      const fleet = new TestUtils.TestFleet({ workers: [1] });
      fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
      await fleet.start();
      await fleet.submit("node-1", BLOCKED_ID, { steps: STEPS });
      await fleet.until(() => fleet.workers.runs.length === 1);
      const partition = partitionOf(fleet, BLOCKED_ID);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ downPartitions: [partition] });
      }
      for (let i = 0; i < 2; i++) {
        for (const id of fleet.workers.listRunning()) fleet.workers.crash(id);
        await fleet.clock.advance(TestUtils.RESTART_DELAY_MS + 100);
      }
      const task = await runElsewhere(fleet, partition);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ downPartitions: [] });
      }
      await fleet.clock.advance(RUN_MS * 2);
      fleet.workers.update();
      const [first] = fleet.workers.runsOf(task);
      vitest.expect(first.how).toBe("done");
      vitest.expect(fleet.workers.runsOf(task).length).toBe(1);
      await fleet.stop();
    });
  },
);
