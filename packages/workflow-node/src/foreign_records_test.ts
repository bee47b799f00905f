/** Guards against delays of other work by rows that another writer overwrote. */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const UNREADABLE_ID = "a000000000000001";
const OTHER_ID = "a000000000000002";
const LATER_ID = "a000000000000003";

function keyOf(fleet: TestUtils.TestFleet, prefix: string, id: string): string {
  const rows = fleet.table.rowsUnder(prefix);
  return rows.find(({ key }) => key.includes(id))?.key ?? "";
}

function isCompleted(fleet: TestUtils.TestFleet, id: string): boolean {
  return fleet.state(id) === Workflow.WorkflowState.Completed;
}

vitest.describe("an unreadable progress record", () => {
  vitest.it("blocks only its own workflow, and ends no term", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
    fleet.workers.behave = () => ({ runMs: 6000, fails: false });
    await fleet.start();
    await fleet.submit("node-1", UNREADABLE_ID);
    await fleet.submit("node-1", OTHER_ID);
    await fleet.until(() => fleet.workers.runs.length === 2);
    await fleet.clock.advance(500);
    fleet.write(keyOf(fleet, "progress:", UNREADABLE_ID), undefined);
    const coordinator = fleet.coordinator() ?? "";
    await fleet.kill(coordinator);
    const isTakenOver = () =>
      ![coordinator, null].includes(fleet.coordinator());
    vitest.expect(await fleet.until(isTakenOver)).toBe(true);
    await fleet.clock.advance(2000);
    const token = fleet.token();
    const [name] = fleet.boxes.keys();
    await fleet.submit(name, LATER_ID);
    for (const id of [OTHER_ID, LATER_ID]) {
      vitest.expect(await fleet.until(() => isCompleted(fleet, id))).toBe(true);
    }
    await fleet.clock.advance(10_000);
    vitest.expect(fleet.token()).toBe(token);
    const runs = fleet.workers.runs.filter(({ task }) =>
      task.startsWith(UNREADABLE_ID)
    );
    vitest.expect(runs.map(({ run }) => run)).toEqual([1]);
    await fleet.stop();
  });
});

vitest.describe("an unreadable workflow row", () => {
  vitest.it("makes only its own state unavailable", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    await fleet.submit("node-1", UNREADABLE_ID);
    await fleet.submit("node-1", OTHER_ID);
    const key = keyOf(fleet, "intake:", UNREADABLE_ID);
    vitest.expect(key).not.toBe("");
    fleet.write(key, undefined);
    const answer = fleet.requestState("node-1", UNREADABLE_ID);
    await vitest.expect(answer).rejects
      .toMatchObject({ _tag: "StoreUnavailableError" });
    await fleet.until(() => isCompleted(fleet, OTHER_ID));
    vitest.expect(await fleet.requestState("node-1", OTHER_ID)).toBe(
      "completed",
    );
    await fleet.stop();
  });
});

vitest.describe("an unreadable election row", () => {
  vitest.it("is written again by the next coordinator", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    await fleet.submit("node-1", OTHER_ID);
    await fleet.until(() => isCompleted(fleet, OTHER_ID));
    fleet.write(TableClient.Keys.COORDINATOR_KEY, undefined);
    await fleet.clock.advance(10_000);
    await fleet.submit("node-1", LATER_ID);
    vitest.expect(await fleet.until(() => isCompleted(fleet, LATER_ID)))
      .toBe(true);
    await fleet.stop();
  });
});

vitest.describe("an unreadable configuration", () => {
  vitest.it(
    "leaves the last one in force until a readable one follows",
    async () => {
      const fleet = new TestUtils.TestFleet();
      await fleet.start();
      fleet.write("test-operator/config", undefined);
      await fleet.clock.advance(3000);
      const { access } = fleet.box("node-1");
      vitest.expect(access.config?.version).toBe(1);
      await fleet.submit("node-1", OTHER_ID);
      fleet.applyConfig(TestUtils.buildAccess({ hana: 4 }, 2));
      await fleet.clock.advance(1000);
      vitest.expect(access.config?.version).toBe(2);
      await fleet.stop();
    },
  );
});
