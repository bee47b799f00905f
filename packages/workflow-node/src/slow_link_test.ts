/** A new coordinator on a slow link must read many rows before it can serve. */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const OTHER_ID = "a000000000000002";
/** Workflows that ended earlier and whose rows are still kept. */
const ENDED_WORKFLOWS = 400;
/** Transfer time of a kilobyte at 4 Mbit/s, in ms. */
const KILOBYTE_MS = 2;
/** Size of the rows of one ended workflow, in KB. */
const ENDED_WORKFLOW_KB = 5;
/** Longest silence before a term is taken over, in ms. */
const DETECTION_MS = 1800;
/** Number of rows that are nearly as large as stores allow. */
const LARGE_ROWS = 100;
/** Size of one such row, in KB; stores allow 64. */
const LARGE_ROW_KB = 40;
/** Shortest history that the store keeps in the second test, in ms. */
const HISTORY_MS = 2000;
/** Time between two writes of other clients, in ms. */
const WRITE_INTERVAL_MS = 500;

/** Time limit in ms: twice the time to read all rows and to detect the silence. */
function maxReadMs(kilobytes: number): number {
  return 2 * (kilobytes * KILOBYTE_MS + DETECTION_MS);
}

/** Kills the coordinator; the remaining box has a slow link. */
async function killCoordinator(fleet: TestUtils.TestFleet): Promise<void> {
  await fleet.start();
  const [remaining] = [...fleet.boxes.keys()]
    .filter((name) => name !== fleet.coordinator());
  await fleet.submit(remaining, ID, {
    steps: [TestUtils.buildStep({ count: 2 })],
  });
  await fleet.kill(fleet.coordinator() ?? "");
  await fleet.submit(remaining, OTHER_ID);
  fleet.faultsOf(remaining).set({ kilobyteMs: KILOBYTE_MS });
}

function isServed(fleet: TestUtils.TestFleet): boolean {
  return [ID, OTHER_ID].every((id) =>
    fleet.state(id) === Workflow.WorkflowState.Completed
  );
}

/** Waits for the service while the store is written to and drops old history. */
async function waitWithShortHistory(
  fleet: TestUtils.TestFleet,
): Promise<boolean> {
  const limitMs = maxReadMs(ENDED_WORKFLOWS * ENDED_WORKFLOW_KB);
  const revisions: number[] = [];
  for (let ms = 0; ms < limitMs; ms += WRITE_INTERVAL_MS) {
    if (isServed(fleet)) return true;
    await fleet.clock.advance(WRITE_INTERVAL_MS);
    revisions.push(fleet.table.revision);
    fleet.write("others/row", ms);
    const old = revisions.at(-1 - HISTORY_MS / WRITE_INTERVAL_MS);
    if (old !== undefined) fleet.table.forgetHistory(old);
  }
  return isServed(fleet);
}

vitest.describe("a coordinator on a slow link", () => {
  vitest.it("serves once it has read many rows", async () => {
    const fleet = new TestUtils.TestFleet({ boxes: 2 });
    for (let i = 0; i < ENDED_WORKFLOWS; i++) TestUtils.writeEnded(fleet, i);
    await killCoordinator(fleet);
    const limitMs = maxReadMs(ENDED_WORKFLOWS * ENDED_WORKFLOW_KB);
    vitest.expect(await fleet.until(() => isServed(fleet), limitMs)).toBe(true);
    await fleet.stop();
  });

  vitest.it("serves if the store keeps little history", async () => {
    const fleet = new TestUtils.TestFleet({ boxes: 2 });
    for (let i = 0; i < ENDED_WORKFLOWS; i++) TestUtils.writeEnded(fleet, i);
    await killCoordinator(fleet);
    vitest.expect(await waitWithShortHistory(fleet)).toBe(true);
    await fleet.stop();
  });

  vitest.it("serves if single rows are large", async () => {
    const fleet = new TestUtils.TestFleet({ boxes: 2 });
    const value = {
      ...Workflow.toProgressRecord(
        new Workflow.Workflow(TestUtils.buildEnded(0)),
      ),
      state: Workflow.WorkflowState.Completed,
      tasks: { "0.0.0": [1, -1, 0, "x".repeat(LARGE_ROW_KB * 1000)] },
    };
    for (let i = 0; i < LARGE_ROWS; i++) {
      const id = `c${String(i).padStart(15, "0")}`;
      const partition = TableClient.Keys.homePartition(id);
      fleet.write(TableClient.Keys.progressKey(partition, id), value);
    }
    await killCoordinator(fleet);
    const limitMs = maxReadMs(LARGE_ROWS * LARGE_ROW_KB);
    vitest.expect(await fleet.until(() => isServed(fleet), limitMs)).toBe(true);
    await fleet.stop();
  });
});
