/**
 * Guards against two concurrent runs of a task when a coordinator is cut off from the
 * store and the other boxes, but not from the endpoint of a run, as in an isolated data
 * centre. Another box is elected and waits for the lease of the run to expire. The
 * isolated coordinator must not renew that lease: without the store it may renew leases
 * only if other boxes confirm that the store is unavailable to them too.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 40_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Longer than a takeover, a lease and another plan, in ms. */
const PARTITION_MS = 15_000;

/** Orders with this token reach only this endpoint; others reach all but it. */
function isolateEndpoint(
  fleet: TestUtils.TestFleet,
  endpoint: string,
  token: number,
): void {
  TestUtils.filterOrders(
    fleet,
    (id, fencingToken) => (id === endpoint) === (fencingToken === token),
  );
}

vitest.describe("a coordinator that is cut off with an endpoint", () => {
  vitest.it("does not keep a run alive beside its replacement", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    await fleet.clock.advance(1000);
    const isolated = fleet.coordinator() ?? "";
    isolateEndpoint(fleet, fleet.workers.runs[0].worker, fleet.token());
    fleet.faultsOf(isolated).set({ down: true });
    fleet.links.isReachable = (from, to) =>
      from !== isolated && to !== isolated;
    await fleet.clock.advance(PARTITION_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});
