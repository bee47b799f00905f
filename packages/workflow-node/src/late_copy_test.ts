/**
 * A workflow is filed, cancelled and filed once more elsewhere while a new
 * coordinator still reads on a slow link.
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const HOME_PARTITION = TableClient.Keys.homePartition(ID);
/** A start later than this after the acknowledgement breaks a promise, in ms. */
const MAX_START_DELAY_MS = 4000;
/** Time that a kilobyte takes at 2 Mbit/s, in ms. */
const KILOBYTE_MS = 4;
/** Rows of each partition: some seconds on that link. */
const FILLER_ROWS = 60;
const ROW_TEXT = "x".repeat(5000);
/** From the election on until the pages of the home have passed the id, in ms. */
const READ_PAST_ID_MS = 6500;

/** In the home the rows come after the id, elsewhere before it. */
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
  const fleet = new TestUtils.TestFleet({ nodes: 2 });
  fleet.workers.behave = () => ({ runMs: 3000, fails: false });
  await fleet.start();
  const coordinator = fleet.coordinator() ?? "";
  fleet.startNode("door");
  await fleet.clock.advance(500);
  fillPartitions(fleet);
  const token = fleet.token();
  for (const name of fleet.nodes.keys()) {
    const kilobyteMs = name === "door" ? 0 : KILOBYTE_MS;
    fleet.faultsOf(name).set({ kilobyteMs });
  }
  // The door does not stand for election.
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

  vitest.it("does not start from a copy that is filed later", async () => {
    vitest.expect(await runScenario(true)).toEqual([]);
  });
});
