/**
 * Guards against too many starts of a task that crashes its endpoint when its start is
 * sent for the second time: such crashes counted as possible ones only.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHING_ID = "c000000000000001";
/** Exceeds the duration of the test, in ms. */
const NEVER_MS = 600_000;
const TIMEOUT_MS = 180_000;

const { Delivered, Lost } = StandIns.OrderOutcome;

vitest.describe("a task that crashes its endpoint at its second start", () => {
  vitest.it("is given up after five crashes at most", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    const { workers } = fleet;
    fleet.keepsIds = true;
    workers.atDeadAddress = StandIns.DeadAddressOutcome.Silent;
    workers.behave = () => ({
      runMs: NEVER_MS,
      fails: false,
      crashesAfterMs: 0,
    });
    await fleet.start();
    let starts = 0;
    workers.decideOutcome = (_, order) =>
      order === "start" && starts++ % 2 === 0 ? Lost : Delivered;
    await fleet.submit("node-1", CRASHING_ID);
    const isGivenUp = await fleet.until(
      () => fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed,
      TIMEOUT_MS,
    );
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(isGivenUp).toBe(true);
    await fleet.stop();
  });
});
