/** Concurrent starts share one poll of an endpoint that has never answered. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

vitest.describe("the first starts on an endpoint", () => {
  vitest.it("wait for one shared poll", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [8] });
    fleet.workers.transitMs = 1;
    fleet.workers.behave = () => ({ runMs: 5000, fails: false });
    await fleet.start();
    const orders: string[] = [];
    fleet.workers.decideOutcome = (_, order) => {
      if (fleet.workers.runs.length === 0) orders.push(order);
      return StandIns.OrderOutcome.Delivered;
    };
    const steps = [TestUtils.buildStep({ count: 8 })];
    await fleet.submit("node-1", "a000000000000001", { steps });
    await fleet.until(() => fleet.workers.runs.length === 8);
    const polls = orders.slice(0, orders.indexOf("start"));
    // The second poll is the regular one, sent as soon as a start is pending.
    vitest.expect(polls.length).toBeLessThanOrEqual(2);
    await fleet.stop();
  });
});
