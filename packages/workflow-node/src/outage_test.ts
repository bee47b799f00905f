/** The whole store is away for a while, and returns. */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const ALL = ["node-1", "node-2", "node-3"];

function setDown(fleet: TestUtils.TestFleet, down: boolean): void {
  for (const name of ALL) fleet.faultsOf(name).set({ down });
}

vitest.describe("after an outage of the whole store", () => {
  vitest.it("work starts at once when it returns", async () => {
    const waits: number[] = [];
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new TestUtils.TestFleet({ seed });
      await fleet.start();
      await fleet.submit("node-1", ID);
      setDown(fleet, true);
      await fleet.clock.advance(3000 + 100 * seed);
      vitest.expect(fleet.workers.runs.length).toBe(0);
      setDown(fleet, false);
      const beganAtMs = fleet.clock.monotonicMs();
      await fleet.until(() => fleet.workers.runs.length > 0, 3000);
      waits.push(fleet.clock.monotonicMs() - beganAtMs);
      await fleet.stop();
    }
    vitest.expect(Math.max(...waits)).toBeLessThan(300);
  });
});
