/** Ends of runs are acknowledged only after they are recorded. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

vitest.describe("ends of runs", () => {
  vitest.it("complete a workflow and are acknowledged", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    await fleet.submit("node-1", "a000000000000001");
    const done = await fleet.until(() =>
      fleet.state("a000000000000001") === Workflow.WorkflowState.Completed
    );
    vitest.expect(done).toBe(true);
    await fleet.clock.advance(500);
    const [run] = fleet.workers.runsOf("a000000000000001.0.0.0");
    vitest.expect(run.how).toBe("done");
    vitest.expect(run.acknowledgedAtMs).not.toBeNull();
    await fleet.stop();
  });

  vitest.it(
    "are not acknowledged while the store is down",
    async () => {
      const fleet = new TestUtils.TestFleet({ workers: [2] });
      fleet.workers.behave = (task) => ({
        runMs: task.endsWith(".1") ? 30_000 : 1000,
        fails: false,
      });
      await fleet.start();
      const steps = [TestUtils.buildStep({ count: 2 })];
      await fleet.submit("node-1", "a000000000000001", { steps });
      await fleet.until(() => fleet.workers.runs.length === 2);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ down: true });
      }
      await fleet.clock.advance(8000);
      const [run] = fleet.workers.runsOf("a000000000000001.0.0.0");
      vitest.expect(run.how).toBe("done");
      vitest.expect(run.acknowledgedAtMs).toBeNull();
      vitest.expect(fleet.workers.runs).toHaveLength(2);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ down: false });
      }
      const done = await fleet.until(() => run.acknowledgedAtMs !== null);
      vitest.expect(done).toBe(true);
      await fleet.clock.advance(1000);
      // The completed task is not repeated; the other one is, as a straggler.
      const runs = fleet.workers.runs.map(({ task, how }) => [task, how]);
      vitest.expect(runs).toEqual([
        ["a000000000000001.0.0.0", "done"],
        ["a000000000000001.0.0.1", "stopped"],
        ["a000000000000001.0.0.1", null],
      ]);
      await fleet.stop();
    },
  );
});
