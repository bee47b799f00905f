/** Tasks of unreachable endpoints run elsewhere, without concurrent runs. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

vitest.describe("an unreachable endpoint", () => {
  vitest.it("loses its task after its lease has expired", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    fleet.workers.behave = () => ({ runMs: 8000, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 8000 })];
    await fleet.submit("node-1", "a000000000000001", { steps });
    await fleet.until(() => fleet.workers.runs.length === 1);
    const [first] = fleet.workers.runs;
    fleet.workers.decideOutcome = (worker) =>
      worker === first.worker
        ? StandIns.OrderOutcome.Lost
        : StandIns.OrderOutcome.Delivered;
    const isRestarted = await fleet.until(() =>
      fleet.workers.runs.length === 2
    );
    vitest.expect(isRestarted).toBe(true);
    const [, second] = fleet.workers.runs;
    const { longestLeaseMs } = TestUtils.FLEET_BOUNDS;
    const waitedMs = second.startedAtMs - first.startedAtMs;
    vitest.expect(waitedMs).toBeGreaterThan(longestLeaseMs);
    vitest.expect(waitedMs).toBeLessThan(longestLeaseMs * 2);
    await fleet.until(() =>
      fleet.state("a000000000000001") === Workflow.WorkflowState.Completed
    );
    vitest.expect(fleet.workers.runs.length).toBe(2);
    await fleet.stop();
  });

  vitest.it("gets no more orders after it has left", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    fleet.workers.behave = () => ({ runMs: 8000, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 8000 })];
    await fleet.submit("node-1", "a000000000000001", { steps });
    await fleet.until(() => fleet.workers.runs.length === 1);
    const [first] = fleet.workers.runs;
    let orderCount = 0;
    fleet.workers.decideOutcome = (worker) => {
      if (worker !== first.worker) return StandIns.OrderOutcome.Delivered;
      orderCount++;
      return StandIns.OrderOutcome.Lost;
    };
    fleet.unlist(first.worker);
    await fleet.until(() => fleet.workers.runs.length === 2);
    await fleet.clock.advance(1000);
    orderCount = 0;
    await fleet.clock.advance(5000);
    vitest.expect(orderCount).toBe(0);
    await fleet.stop();
  });
});
