/**
 * Guards against two concurrent runs of a task after a takeover with a slow store: the
 * coordinator loses the store and continues to renew leases; another box is elected and
 * takes two seconds to read the records; the endpoint of a run becomes unreachable just
 * before that box polls it. The previous coordinator may have renewed the lease until
 * then, so counting the lease from the election starts the next run 0.3 s too early.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 40_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Duration of a call to the slow store, in ms; a takeover needs five calls. */
const STORE_DELAY_MS = 400;
/** Steps that fit no endpoint. */
const OVERSIZED_STEPS = [TestUtils.buildStep({ accelerators: 8 })];
/** Waiting workflows, and the transfer time of a kilobyte to a slow box, in ms. */
const FILLERS = 60;
const KILOBYTE_MS = 75;
/** Time for a lease to expire and for a new plan, in ms. */
const TIMEOUT_MS = 15_000;

/** Cuts the coordinator off from the store and the other boxes, not from endpoints. */
function isolateCoordinator(fleet: TestUtils.TestFleet): void {
  const coordinator = fleet.coordinator() ?? "";
  for (const name of fleet.boxes.keys()) {
    fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
  }
  fleet.faultsOf(coordinator).set({ down: true });
  fleet.links.isReachable = (from, to) =>
    from !== coordinator && to !== coordinator;
}

/** Cuts an endpoint off as soon as the next coordinator polls any endpoint. */
function isolateWhenPolled(fleet: TestUtils.TestFleet, endpoint: string): void {
  const { workers } = fleet;
  const token = fleet.token();
  let isIsolated = false;
  const renew = workers.renew.bind(workers);
  workers.renew = (ref, order) => {
    isIsolated ||= order.fencingToken > token;
    return renew(ref, order);
  };
  workers.decideOutcome = (id) =>
    isIsolated && id === endpoint
      ? StandIns.OrderOutcome.Lost
      : StandIns.OrderOutcome.Delivered;
}

vitest.describe("a lease that a previous coordinator renews", () => {
  vitest.it("counts until the next one polls the endpoints", async () => {
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
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
    await fleet.stop();
  });

  vitest.it("counts as long if the endpoint is not listed", async () => {
    const messages: string[] = [];
    const fleet = new TestUtils.TestFleet({
      workers: [1, 1, 1],
      logOf: () => new TestUtils.RecordingLog(messages),
    });
    const { workers } = fleet;
    workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => workers.runs.length === 1);
    await fleet.clock.advance(1000);
    const [first] = workers.runs;
    const coordinator = fleet.coordinator() ?? "";
    // The others take long to read these, which follow the row of the first run.
    for (let i = 0; i < FILLERS; i++) {
      const id = `b${String(i).padStart(15, "0")}`;
      await fleet.submit("node-1", id, { steps: OVERSIZED_STEPS });
    }
    isolateCoordinator(fleet);
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ kilobyteMs: KILOBYTE_MS });
    }
    fleet.unlist(first.worker);
    // No box polls the endpoint after the next coordinator has taken over.
    const hasTakenOver = () =>
      messages.filter((message) => message.startsWith("Took over ")).length > 1;
    vitest.expect(await fleet.until(hasTakenOver)).toBe(true);
    await fleet.kill(coordinator);
    const hasRestarted = () => workers.runsOf(first.task).length === 2;
    vitest.expect(await fleet.until(hasRestarted, TIMEOUT_MS)).toBe(true);

    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
    await fleet.stop();
  });
});
