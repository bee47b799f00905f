/** Checks that requests at about the same time share one scan. */
import * as Metrics from "@cairngate/metrics";
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as waiting from "./waiting_counts.ts";

const PARTITIONS = TableClient.Keys.PARTITIONS.length;

/** Builds counts over a table in memory; `scan` spies on its scans. */
function createCounts() {
  const clock = new TestUtils.FakeClock();
  const random = new TestUtils.SeededRandom(1);
  const faults = new StandIns.FaultSwitch(clock, random);
  const table = new StandIns.MemoryTable(faults);
  const scan = vitest.vi.spyOn(table, "scan");
  const store = new TableClient.StoreClient({
    table,
    clock,
    random,
    metrics: new Metrics.Metrics(),
    writesPerSecond: 1000,
  });
  const counts = new waiting.WaitingCounts({ store, clock });
  const addWaiting = (queue: string, id: string) => {
    const partition = TableClient.Keys.homePartition(id);
    const key = TableClient.Keys.waitingKey(partition, queue, id);
    const writes = [{ key, value: 1 }];
    Effect.runSync(table.transact({ writeId: id, conditions: [], writes }));
  };
  const countOf = async (queue: string) => {
    const pending = Effect.runPromise(Effect.result(counts.of(queue)));
    await clock.advance(500);
    return await pending;
  };
  return { clock, faults, scan, addWaiting, countOf };
}

vitest.describe("WaitingCounts", () => {
  vitest.it("counts each queue separately", async () => {
    const { addWaiting, countOf } = createCounts();
    addWaiting("maps", "a1");
    addWaiting("maps", "a2");
    addWaiting("scans", "a3");
    vitest.expect(await countOf("maps")).toMatchObject({ success: 2 });
    vitest.expect(await countOf("scans")).toMatchObject({ success: 1 });
    vitest.expect(await countOf("others")).toMatchObject({ success: 0 });
  });

  vitest.it(
    "scans once for several queues, and again when the counts are old",
    async () => {
      const { clock, scan, addWaiting, countOf } = createCounts();
      await countOf("maps");
      await countOf("scans");
      vitest.expect(scan.mock.calls.length).toBe(PARTITIONS);
      addWaiting("maps", "a1");
      await clock.advance(500);
      vitest.expect(await countOf("maps")).toMatchObject({ success: 1 });
      vitest.expect(scan.mock.calls.length).toBe(2 * PARTITIONS);
    },
  );

  vitest.it("does not reuse the failure of an earlier scan", async () => {
    const { faults, countOf } = createCounts();
    faults.set({ down: true });
    const failed = await countOf("maps");
    vitest.expect(failed).toMatchObject({
      failure: { _tag: "StoreUnavailableError" },
    });
    faults.set({ down: false });
    vitest.expect(await countOf("maps")).toMatchObject({ success: 0 });
  });
});
