/**
 * A task ran twice at once after a takeover beside a slow store. Order of events: the
 * coordinator loses the store and goes on renewing leases; another box is elected, and
 * reading the records takes it two seconds; the endpoint of a run is cut off just
 * before that box calls it. Cause: the lease of that run was counted from the
 * election, while the former coordinator had renewed it until it was cut off. The
 * next run began 0.3 s before the first one lapsed.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 40_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Time of a call to the slow store, in ms: a takeover takes five of them. */
const STORE_DELAY_MS = 400;
/** No endpoint has the room for it. */
const OVERSIZED_STEPS = [TestUtils.buildStep({ accelerators: 8 })];
/** Workflows that wait, and the time that a kilobyte of them takes to a slow box, in ms. */
const FILLERS = 60;
const KILOBYTE_MS = 75;
/** A lease and a new plan, in ms. */
const TIMEOUT_MS = 15_000;

/** The coordinator is cut off from the store and the other boxes, not from endpoints. */
function isolateCoordinator(fleet: TestUtils.TestFleet): void {
  const previous = fleet.coordinator() ?? "";
  for (const name of fleet.nodes.keys()) {
    fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
  }
  fleet.faultsOf(previous).set({ down: true });
  fleet.links.passes = (from, to) => from !== previous && to !== previous;
}

/** An endpoint is cut off from the moment at which the next coordinator calls one. */
function isolateWhenPolled(fleet: TestUtils.TestFleet, endpoint: string): void {
  const { workers } = fleet;
  const token = fleet.token();
  let isIsolated = false;
  const renew = workers.renew.bind(workers);
  workers.renew = (ref, order) => {
    isIsolated ||= order.fencingToken > token;
    return renew(ref, order);
  };
  workers.carry = (id) =>
    isIsolated && id === endpoint
      ? StandIns.OrderFate.Lost
      : StandIns.OrderFate.Carried;
}

vitest.describe("a lease that a former coordinator renews", () => {
  vitest.it("counts until the next one calls the endpoints", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
    const { workers } = fleet;
    workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => workers.runs.length === 1);
    await fleet.clock.advance(1000);
    const [first] = workers.runs;
    isolateWhenPolled(fleet, first.worker);
    isolateCoordinator(fleet);
    const hasRestarted = () => workers.runs.length === 2;
    vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);
    vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
    await fleet.stop();
  });

  vitest.it("counts so long where the endpoint is not listed", async () => {
    const messages: string[] = [];
    const fleet = new TestUtils.TestFleet({
      workers: [1, 1, 1],
      logOf: () => new TestUtils.KeptLog(messages),
    });
    const { workers } = fleet;
    workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => workers.runs.length === 1);
    await fleet.clock.advance(1000);
    const [first] = workers.runs;
    const previous = fleet.coordinator() ?? "";
    // The others are long at reading what waits, after the row of the first run.
    for (let i = 0; i < FILLERS; i++) {
      const id = `b${String(i).padStart(15, "0")}`;
      await fleet.submit("node-1", id, { steps: OVERSIZED_STEPS });
    }
    isolateCoordinator(fleet);
    for (const name of fleet.nodes.keys()) {
      fleet.faultsOf(name).set({ kilobyteMs: KILOBYTE_MS });
    }
    fleet.unlist(first.worker);
    // Nobody calls it any more once the next coordinator has begun.
    const hasTakenOver = () =>
      messages.filter((message) => message.startsWith("Took over ")).length > 1;
    vitest.expect(await fleet.until(hasTakenOver)).toBe(true);
    await fleet.kill(previous);
    const hasRestarted = () => workers.runsOf(first.task).length === 2;
    vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);

    vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
    await fleet.stop();
  });
});
