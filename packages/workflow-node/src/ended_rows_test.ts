/** Rows of ended workflows keep only the state, and are removed after some time. */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Longest time between two sweeps of the rows of ended workflows, in ms. */
const SWEEP_INTERVAL_MS = 5000;

function isCompleted(fleet: TestUtils.TestFleet): boolean {
  return fleet.state(ID) === Workflow.WorkflowState.Completed;
}

function findRows(fleet: TestUtils.TestFleet): string[] {
  return ["intake:", "progress:", "waiting:"]
    .flatMap((table) => fleet.table.rowsUnder(table))
    .map(({ key }) => key)
    .filter((key) => key.includes(ID));
}

async function startWithEndedWorkflow(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet();
  await fleet.start();
  await fleet.submit("node-1", ID);
  await fleet.until(() => isCompleted(fleet));
  return fleet;
}

vitest.describe("a workflow that has ended", () => {
  vitest.it("keeps its state and drops its steps", async () => {
    const fleet = await startWithEndedWorkflow();
    const [row] = fleet.table.rowsUnder("intake:");
    vitest.expect(row.value).toMatchObject({ id: ID, payload: "", steps: [] });
    vitest.expect(await fleet.requestState("node-2", ID))
      .toBe(Workflow.WorkflowState.Completed);
    await fleet.stop();
  });

  vitest.it("does not run again if resubmitted in any term", async () => {
    const fleet = await startWithEndedWorkflow();
    await fleet.submit("node-2", ID);
    await fleet.clock.advance(2000);
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.clock.advance(4000);
    const [name] = [...fleet.boxes.keys()];
    await fleet.submit(name, ID);
    await fleet.clock.advance(2000);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(await fleet.requestState(name, ID))
      .toBe(Workflow.WorkflowState.Completed);
    await fleet.stop();
  });

  vitest.it("drops its steps after its runs have been stopped", async () => {
    const fleet = new TestUtils.TestFleet();
    fleet.workers.behave = (task) => ({
      runMs: task.endsWith(".0") ? 300 : 60_000,
      fails: task.endsWith(".0"),
    });
    await fleet.start();
    const steps = [TestUtils.buildStep({ count: 2, estimateMs: 60_000 })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.until(() => fleet.state(ID) === Workflow.WorkflowState.Failed);
    const isStopped = await fleet.until(() =>
      fleet.workers.runs.every(({ how }) => how !== null)
    );
    vitest.expect(isStopped).toBe(true);
    await fleet.clock.advance(1000);
    const [row] = fleet.table.rowsUnder("intake:");
    vitest.expect(row.value).toMatchObject({ steps: [] });
    await fleet.stop();
  });

  vitest.it(
    "is removed, even if it ended in an earlier term",
    async () => {
      const fleet = await startWithEndedWorkflow();
      vitest.expect(findRows(fleet).length).toBe(2);
      await fleet.kill(fleet.coordinator() ?? "");
      await fleet.clock.advance(4000);
      const { keepEndedMs } = TestUtils.FLEET_BOUNDS;
      await fleet.clock.advance(keepEndedMs + 2 * SWEEP_INTERVAL_MS);
      vitest.expect(findRows(fleet)).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it("stays removed if a sweep overtakes a read of it", async () => {
    const fleet = new TestUtils.TestFleet();
    fleet.workers.behave = () => ({ runMs: 100_000, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID);
    await fleet.until(() => fleet.workers.runs.length === 1);
    await TestUtils.cancelAt(fleet, { at: "node-1", id: ID });
    const cancelled = Workflow.WorkflowState.Cancelled;
    await fleet.until(() => fleet.state(ID) === cancelled);
    await fleet.clock.advance(TestUtils.FLEET_BOUNDS.keepEndedMs - 2000);
    for (const partition of TableClient.Keys.PARTITIONS) {
      for (let i = 0; i < 60; i++) {
        const key = `intake:${partition}/c${100 + i}/filler`;
        fleet.write(key, "x".repeat(5000));
      }
    }
    await fleet.clock.advance(500);
    const token = fleet.token();
    // All rows are read again over a slow link while the sweep continues.
    fleet.faultsOf(fleet.coordinator() ?? "").set({ kilobyteMs: 4 });
    fleet.table.forgetHistory();
    fleet.write("intake:0/z/filler", 1);
    await fleet.clock.advance(40_000);
    vitest.expect(fleet.token()).toBe(token);
    vitest.expect(findRows(fleet)).toEqual([]);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });
});
