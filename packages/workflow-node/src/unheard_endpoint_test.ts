/**
 * An endpoint that lived, was listed and answered was never used again, and work stood
 * beside it: a new coordinator asked it for the start of a gang's member, had no answer,
 * and another member broke the gang meanwhile, so that the start was not wanted any more.
 * From then on nobody asked it again. The evidence: a random play (rebirths, seed 49), in
 * which an endpoint was idle for 40 s.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Time in which the endpoint does not answer, in ms: a start gives up meanwhile. */
const SILENT_MS = 3000;
/** Users allow work to stand for this time, in ms, while there is room. */
const MAX_STALL_MS = 3000;

vitest.describe("an endpoint that did not answer a start", () => {
  vitest.it("is used once it answers", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    await fleet.start();
    fleet.workers.carry = () => StandIns.OrderFate.Lost;
    const steps = [TestUtils.buildStep({ count: 2, gang: true })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.clock.advance(SILENT_MS);
    vitest.expect(fleet.workers.runs).toEqual([]);
    fleet.workers.carry = () => StandIns.OrderFate.Carried;
    const isDone = () => fleet.state(ID) === Workflow.WorkflowState.Completed;
    vitest.expect(await fleet.until(isDone, MAX_STALL_MS)).toBe(true);
    await fleet.stop();
  });
});
