/** Lost endpoints do not delay their tasks further where the coordinator changes. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

/** Clocks of endpoints are at most 2% slow. */
const CLOCK_SLOWDOWN = 1.02;
/** Time in ms for which a task may wait while there is room for it. */
const MAX_WAIT_MS = 3000;
/** Interval between two changes of the coordinator, in ms. */
const TERM_MS = 2500;

vitest.describe("a task of a lost endpoint", () => {
  vitest.it("does not wait for its lease anew at each takeover", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    fleet.workers.behave = () => ({ runMs: 30_000, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 30_000 })];
    await fleet.submit("node-1", "a000000000000001", { steps });
    await fleet.until(() => fleet.workers.runs.length === 1);
    const [{ worker: lost }] = fleet.workers.runs;
    fleet.workers.decideOutcome = (worker) =>
      worker === lost
        ? StandIns.OrderOutcome.Lost
        : StandIns.OrderOutcome.Delivered;
    fleet.unlist(lost);
    const lostAtMs = fleet.clock.monotonicMs();
    for (let i = 0; i < 6; i++) {
      const name = fleet.coordinator() ?? "";
      await fleet.run(fleet.box(name).leave());
      await fleet.kill(name);
      fleet.startBox(`${name}+`);
      await fleet.clock.advance(TERM_MS);
    }
    await fleet.until(() => fleet.workers.runs.length === 2);
    const [, second] = fleet.workers.runs;
    const { longestLeaseMs } = TestUtils.FLEET_BOUNDS;
    vitest.expect(second.startedAtMs - lostAtMs).toBeLessThan(
      longestLeaseMs * CLOCK_SLOWDOWN + MAX_WAIT_MS,
    );
    await fleet.stop();
  });
});
