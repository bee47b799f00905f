/** Guards against work that stays queued after endpoints have recovered. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const TASK = `${ID}.0.0.0`;
/** Longest time that work may wait while endpoints have capacity, in ms. */
const MAX_WAIT_MS = 3000;
/** Time during which all starts are lost, in ms. */
const STARTS_LOST_MS = 8000;

const { Delivered, Lost } = StandIns.OrderOutcome;

vitest.describe("endpoints after lost starts", () => {
  vitest.it("get work within 3 s of their recovery", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    const { workers } = fleet;
    await fleet.start();
    workers.decideOutcome = (_, order) => order === "start" ? Lost : Delivered;
    await fleet.submit("node-1", ID);
    await fleet.clock.advance(STARTS_LOST_MS);
    workers.decideOutcome = () => Delivered;
    const hasStarted = () => workers.runsOf(TASK).length > 0;
    vitest.expect(await fleet.until(hasStarted, MAX_WAIT_MS)).toBe(true);
    await fleet.stop();
  });
});
