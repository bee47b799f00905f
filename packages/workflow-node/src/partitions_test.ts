/** Some partitions of the store are unavailable; the others stay in use. */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const FIRST_ID = "a000000000000001";
const HOME_PARTITION = TableClient.Keys.homePartition(FIRST_ID);
/** An id of another partition. */
const SECOND_ID = ["a000000000000002", "a000000000000003", "a000000000000004"]
  .filter((id) => TableClient.Keys.homePartition(id) !== HOME_PARTITION)[0];

function isCompleted(fleet: TestUtils.TestFleet, id: string): boolean {
  return fleet.state(id) === Workflow.WorkflowState.Completed;
}

function setDown(fleet: TestUtils.TestFleet, ...partitions: string[]): void {
  for (const name of fleet.boxes.keys()) {
    fleet.faultsOf(name).set({ downPartitions: partitions });
  }
}

async function startFleet(runMs: number): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet();
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  return fleet;
}

const TWO_STEPS = [
  TestUtils.buildStep(),
  TestUtils.buildStep({ after: [0] }),
];

vitest.describe("while a partition is unavailable", () => {
  vitest.it("workflows of other partitions run and end", async () => {
    const fleet = await startFleet(1000);
    await fleet.submit("node-1", FIRST_ID, { steps: TWO_STEPS });
    await fleet.submit("node-2", SECOND_ID, { steps: TWO_STEPS });
    await fleet.until(() => fleet.workers.runs.length === 2);
    setDown(fleet, HOME_PARTITION);
    await fleet.clock.advance(4000);
    vitest.expect(isCompleted(fleet, SECOND_ID)).toBe(true);
    vitest.expect(isCompleted(fleet, FIRST_ID)).toBe(false);
    setDown(fleet);
    vitest.expect(await fleet.until(() => isCompleted(fleet, FIRST_ID)))
      .toBe(true);
    vitest.expect(fleet.workers.runs.length).toBe(4);
    await fleet.stop();
  });

  vitest.it(
    "new workflows are stored, run and found in another one",
    async () => {
      const fleet = await startFleet(1000);
      setDown(fleet, HOME_PARTITION);
      await fleet.submit("node-1", FIRST_ID);
      await fleet.until(() => isCompleted(fleet, FIRST_ID));
      const ask = () => fleet.requestState("node-2", FIRST_ID);
      vitest.expect(await ask()).toBe(Workflow.WorkflowState.Completed);
      setDown(fleet);
      await fleet.clock.advance(1000);
      vitest.expect(await ask()).toBe(Workflow.WorkflowState.Completed);
      await fleet.submit("node-3", FIRST_ID);
      await fleet.clock.advance(3000);
      vitest.expect(await ask()).toBe(Workflow.WorkflowState.Completed);
      vitest.expect(fleet.workers.runs.length).toBe(1);
      await fleet.stop();
    },
  );

  vitest.it("a workflow is not reported as unknown", async () => {
    const fleet = await startFleet(1000);
    setDown(fleet, TableClient.Keys.homePartition(SECOND_ID));
    await vitest.expect(fleet.requestState("node-1", FIRST_ID)).rejects
      .toMatchObject({ _tag: "StoreUnavailableError" });
    setDown(fleet);
    await fleet.clock.advance(1000);
    await vitest.expect(fleet.requestState("node-1", FIRST_ID)).rejects
      .toMatchObject({ _tag: "UnknownJobError" });
    await fleet.stop();
  });

  vitest.it(
    "a takeover stops no run whose workflow it can't read",
    async () => {
      const fleet = await startFleet(3000);
      await fleet.submit("node-1", FIRST_ID);
      await fleet.until(() => fleet.workers.runs.length === 1);
      const first = fleet.coordinator() ?? "";
      setDown(fleet, HOME_PARTITION);
      await fleet.kill(first);
      await fleet.clock.advance(6000);
      vitest.expect(fleet.coordinator()).not.toBe(first);
      const [run] = fleet.workers.runs;
      vitest.expect(run.how).toBe("done");
      vitest.expect(run.acknowledgedAtMs).toBeNull();
      setDown(fleet);
      vitest.expect(await fleet.until(() => isCompleted(fleet, FIRST_ID)))
        .toBe(true);
      vitest.expect(await fleet.until(() => run.acknowledgedAtMs !== null))
        .toBe(true);
      vitest.expect(fleet.workers.runs.length).toBe(1);
      await fleet.stop();
    },
  );

  vitest.it("the end of a run waits only for its own partition", async () => {
    const fleet = await startFleet(3000);
    await fleet.submit("node-1", FIRST_ID);
    await fleet.until(() => fleet.workers.runs.length === 1);
    const other = TableClient.Keys.homePartition(SECOND_ID);
    setDown(fleet, HOME_PARTITION, other);
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.clock.advance(6000);
    setDown(fleet, other);
    await fleet.clock.advance(2000);
    vitest.expect(isCompleted(fleet, FIRST_ID)).toBe(true);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "a takeover starts no copy of a workflow it can't read",
    async () => {
      const fleet = await startFleet(20_000);
      const steps = [TestUtils.buildStep({ estimateMs: 20_000 })];
      await fleet.submit("node-1", FIRST_ID, { steps });
      await fleet.until(() => fleet.workers.runs.length === 1);
      const other = TableClient.Keys.homePartition(SECOND_ID);
      const [accepted] = fleet.table.rowsUnder(
        `intake:${HOME_PARTITION}/${FIRST_ID}/`,
      );
      const copy = TableClient.Keys.workflowKey(other, FIRST_ID);
      setDown(fleet, HOME_PARTITION);
      await fleet.kill(fleet.coordinator() ?? "");
      fleet.write(copy, accepted.value);
      await fleet.clock.advance(6000);
      setDown(fleet);
      await fleet.clock.advance(6000);
      vitest.expect(fleet.workers.runs.length).toBe(1);
      vitest.expect(fleet.workers.runs[0].how).toBeNull();
      vitest.expect(fleet.table.rowsUnder(copy)).toEqual([]);
      await fleet.stop();
    },
  );
});

vitest.describe("a workflow that was accepted in two partitions", () => {
  vitest.it("runs once, and its copy is removed", async () => {
    const fleet = await startFleet(1000);
    await fleet.submit("node-1", FIRST_ID);
    const [accepted] = fleet.table.rowsUnder(
      `intake:${HOME_PARTITION}/${FIRST_ID}/`,
    );
    const other = TableClient.Keys.homePartition(SECOND_ID);
    const copy = TableClient.Keys.workflowKey(other, FIRST_ID);
    fleet.write(copy, accepted.value);
    await fleet.clock.advance(3000);
    vitest.expect(isCompleted(fleet, FIRST_ID)).toBe(true);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(fleet.table.rowsUnder(copy)).toEqual([]);
    await fleet.stop();
  });
});
