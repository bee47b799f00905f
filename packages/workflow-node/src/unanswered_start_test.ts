/**
 * Guards against an endpoint that stays idle while work waits. A new coordinator sends
 * it the start of a gang's member and gets no answer; another member breaks the gang
 * meanwhile, so the start is withdrawn. The endpoint must still be polled afterwards.
 * Found by random faults (rebirths, seed 49).
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Time without answers of the endpoints, in ms; a start is abandoned meanwhile. */
const SILENT_MS = 3000;
/** Longest time that runnable work may wait while there is free capacity, in ms. */
const MAX_STALL_MS = 3000;

vitest.describe("an endpoint that did not answer a start", () => {
  vitest.it("is used once it answers", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    await fleet.start();
    fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Lost;
    const steps = [TestUtils.buildStep({ count: 2, gang: true })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.clock.advance(SILENT_MS);
    vitest.expect(fleet.workers.runs).toEqual([]);
    fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
    const isDone = () => fleet.state(ID) === Workflow.WorkflowState.Completed;
    vitest.expect(await fleet.until(isDone, MAX_STALL_MS)).toBe(true);
    await fleet.stop();
  });
});
