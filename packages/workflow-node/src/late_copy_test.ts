/**
 * Guards against starts of a cancelled workflow: it is submitted, cancelled and
 * submitted again to another partition while a new coordinator is still reading over a
 * slow link.
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const HOME_PARTITION = TableClient.Keys.homePartition(ID);
/** Latest permitted start after an acknowledged cancel, in ms. */
const MAX_START_DELAY_MS = 4000;
/** Transfer time of a kilobyte at 2 Mbit/s, in ms. */
const KILOBYTE_MS = 4;
/** Rows of each partition, which take some seconds to read over that link. */
const FILLER_ROWS = 60;
const ROW_TEXT = "x".repeat(5000);
/** Time from the election until the scan of the home has passed the id, in ms. */
const READ_PAST_ID_MS = 6500;

/** Writes rows that sort after the id in its home and before it elsewhere. */
function fillPartitions(fleet: TestUtils.TestFleet): void {
  for (const partition of TableClient.Keys.PARTITIONS) {
    const prefix = partition === HOME_PARTITION ? "c" : "0";
    for (let i = 0; i < FILLER_ROWS; i++) {
      const id = `${prefix}${String(i).padStart(15, "0")}`;
      fleet.write(`intake:${partition}/${id}/filler`, ROW_TEXT);
    }
  }
}

async function runScenario(isSubmittedAgain: boolean): Promise<string[]> {
  const fleet = new TestUtils.TestFleet({ boxes: 2 });
  fleet.workers.behave = () => ({ runMs: 3000, fails: false });
  await fleet.start();
  const coordinator = fleet.coordinator() ?? "";
  fleet.startBox("door");
  await fleet.clock.advance(500);
  fillPartitions(fleet);
  const token = fleet.token();
  for (const name of fleet.boxes.keys()) {
    const kilobyteMs = name === "door" ? 0 : KILOBYTE_MS;
    fleet.faultsOf(name).set({ kilobyteMs });
  }
  // Without the store, this box cannot be elected.
  fleet.faultsOf("door").set({ down: true });
  await fleet.kill(coordinator);
  await fleet.until(() => fleet.token() > token);
  fleet.faultsOf("door").set({ down: false });
  await fleet.clock.advance(READ_PAST_ID_MS);
  const steps = [TestUtils.buildStep({ estimateMs: 3000 })];
  await fleet.submit("door", ID, { steps });
  const cancelled = await TestUtils.cancelAt(fleet, { at: "door", id: ID });
  vitest.expect(cancelled).toBeTypeOf("number");
  if (isSubmittedAgain) {
    fleet.faultsOf("door").set({ downPartitions: [HOME_PARTITION] });
    await fleet.submit("door", ID, { steps });
    fleet.faultsOf("door").set({ downPartitions: [] });
  }
  await fleet.clock.advance(30_000);
  const late = fleet.workers.runs.filter(({ startedAtMs }) =>
    startedAtMs > Number(cancelled) + MAX_START_DELAY_MS
  );
  await fleet.stop();
  return late.map(({ task, run }) => `${task}@${run}`);
}

vitest.describe("a workflow that is cancelled during a takeover", () => {
  vitest.it("does not start", async () => {
    vitest.expect(await runScenario(false)).toEqual([]);
  });

  vitest.it("does not start from a copy that is written later", async () => {
    vitest.expect(await runScenario(true)).toEqual([]);
  });
});
