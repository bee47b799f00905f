/** Workflows of many tasks in a store that limits the size of its rows. */
import * as Errors from "@cairngate/errors";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

/** Maximum size of one row's value in the users' stores, in bytes. */
const ROW_BYTES = 65_536;

/** Makes the store refuse transactions with a row above the limit. */
function limitRows(fleet: TestUtils.TestFleet): void {
  const { table } = fleet;
  const transact = table.transact.bind(table);
  table.transact = (tx) => {
    const isTooLong = tx.writes.some(({ value }) =>
      Buffer.byteLength(JSON.stringify(value)) > ROW_BYTES
    );
    if (!isTooLong) return transact(tx);
    const operation = "write";
    const cause = "status 400";
    return Effect.fail(new Errors.StoreUnavailableError({ operation, cause }));
  };
}

/** Makes the store refuse all records of one workflow. */
function refuseRecords(fleet: TestUtils.TestFleet, id: string): void {
  const { table } = fleet;
  const transact = table.transact.bind(table);
  const key = TableClient.Keys.progressKey(
    TableClient.Keys.homePartition(id),
    id,
  );
  table.transact = (tx) =>
    tx.writes.some((write) => write.key === key)
      ? Effect.fail(new Errors.WriteRefusedError({ key, cause: "too large" }))
      : transact(tx);
}

vitest.describe("a record that the store refuses permanently", () => {
  vitest.it("blocks its own workflow and no other", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    const refused = "a000000000000001";
    const home = TableClient.Keys.homePartition(refused);
    const beside = Array.from({ length: 40 }, (_, i) => `b${100 + i}`)
      .filter((id) => TableClient.Keys.homePartition(id) === home);
    vitest.expect(beside.length).toBeGreaterThan(1);
    refuseRecords(fleet, refused);
    const token = fleet.token();
    await Promise.all(
      [refused, ...beside].map((id) => fleet.submit("node-1", id)),
    );
    await fleet.clock.advance(6000);
    const ended = Workflow.WorkflowState.Completed;
    vitest.expect(beside.map((id) => fleet.state(id)))
      .toEqual(beside.map(() => ended));
    vitest.expect(fleet.workers.runsOf(`${refused}.0.0.0`)).toEqual([]);
    vitest.expect(fleet.token()).toBe(token);
    await fleet.stop();
  });
});

vitest.describe("a store that limits the size of rows", () => {
  vitest.it("keeps a workflow of 1,000 tasks and the others", async () => {
    const endpoints = Array.from({ length: 8 }, () => 130);
    const fleet = new TestUtils.TestFleet({ workers: endpoints });
    await fleet.start();
    limitRows(fleet);
    // Four rounds, as an audit on the users' larger deployments has.
    await fleet.submit("node-1", "a000000000000001", {
      priority: 2,
      steps: [TestUtils.buildStep({
        count: 250,
        accelerators: 1,
        cpuMillis: 100,
        memoryMb: 10,
        estimateMs: 200,
      })],
      schedule: { firstAtMs: fleet.clock.wallMs(), everyMs: 300, rounds: 4 },
    });
    await fleet.clock.advance(5000);
    const ids = Array.from(
      { length: 8 },
      (_, i) => `b0000000000000${String(i).padStart(2, "0")}`,
    );
    for (const id of ids) await fleet.submit("node-2", id);
    await fleet.clock.advance(3000);
    const ended = Workflow.WorkflowState.Completed;
    vitest.expect(fleet.state("a000000000000001")).toBe(ended);
    vitest.expect(ids.map((id) => fleet.state(id))).toEqual(
      ids.map(() => ended),
    );
    await fleet.stop();
  });
});
