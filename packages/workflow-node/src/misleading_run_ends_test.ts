/**
 * A run counts as over only if that is proven (docs/design/run-ends.md). Each test
 * presents misleading evidence while a run goes on; no second run may start beside it.
 *
 * Entries: an entry names another endpoint's address for an endpoint that has answered
 * at its own one. An answer from that address must end only endpoints that were called
 * there, not all that entries list there; else the task starts again beside its run.
 *
 * Starts under way: a start waits for its record while an entry names another address
 * for its endpoint, which has not answered yet. The session at the new address must not
 * treat the start as sent: late in a term no lease covers it, so the task would start
 * on another endpoint, while the previous session still sends its start.
 *
 * Takeovers: an entry names another endpoint's address for one that has not answered
 * the new coordinator, and that is cut off from the store and can't correct its entry.
 * It must not count as crashed before its lease expires.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 20_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Two heartbeats of an endpoint, in ms. */
const HEARTBEATS_MS = 3000;
/** Longer than any lease, in ms. */
const BEYOND_LEASE_MS = 10_000;
/** Duration of a call to a slow store, in ms; the record of a start takes one. */
const STORE_DELAY_MS = 300;
/** Address at which no endpoint listens. */
const VACANT_ADDRESS = "10.0.9.9:80";

/** Writes an entry with a wrong address for an endpoint. */
function rewriteAddress(
  fleet: TestUtils.TestFleet,
  id: string,
  address: string,
): void {
  const own = fleet.entryOf(id);
  if (own === null) throw new RangeError(`${id} is not listed`);
  fleet.writeEntry({ ...own, address });
}

vitest.describe("an entry with a wrong address", () => {
  vitest.it("ends nothing on an endpoint that has answered", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    await fleet.clock.advance(500);
    const { worker } = fleet.workers.runs[0];
    const place = fleet.indexOf(worker);
    rewriteAddress(fleet, worker, `10.0.0.${(place + 1) % 3}:80`);
    await fleet.clock.advance(HEARTBEATS_MS);
    fleet.list({ id: worker, accelerators: 1 }, place);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });

  vitest.it("ends no start that is under way", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    fleet.workers.removeListener(VACANT_ADDRESS);
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.clock.advance(BEYOND_LEASE_MS);
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
    }
    await fleet.submit("node-1", ID, { steps: STEPS });
    // The start is planned, and its record is being written.
    await fleet.clock.advance(STORE_DELAY_MS / 2);
    vitest.expect(fleet.workers.runs).toEqual([]);
    rewriteAddress(fleet, "worker-0", VACANT_ADDRESS);
    await fleet.clock.advance(HEARTBEATS_MS);
    fleet.list({ id: "worker-0", accelerators: 1 }, 0);
    await fleet.clock.advance(BEYOND_LEASE_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });

  vitest.it("ends nothing that is leased, after a takeover", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    await fleet.clock.advance(500);
    const [first] = fleet.workers.runs;
    const place = fleet.indexOf(first.worker);
    rewriteAddress(fleet, first.worker, `10.0.0.${(place + 1) % 3}:80`);
    await fleet.kill(fleet.coordinator() ?? "");
    const runsAgain = () => fleet.workers.runs.length === 2;
    vitest.expect(await fleet.until(runsAgain)).toBe(true);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    vitest.expect(first.how).toBe("lapsed");
    await fleet.stop();
  });
});
