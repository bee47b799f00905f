/**
 * Guards against a second run beside the first: an endpoint restarts under its id with a
 * clock that begins anew, a late renewal of the previous incarnation gives it the longest
 * lease, and it becomes unreachable.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Longest lease that endpoints accept, in ms: longer than those that are granted. */
const LONGEST_LEASE_MS = 10_000;
/** Time from the sending of the late renewal to its delivery, in ms. */
const LATE_MS = 9000;
/** Time from the crash of the endpoint to its next incarnation, in ms. */
const RESTART_MS = 1000;
/** Time for the delivery itself, in ms. */
const DELIVERY_MS = 50;

const { Delivered, Late, Lost } = StandIns.OrderOutcome;

vitest.describe("a late renewal of a previous incarnation", () => {
  vitest.it(
    "lets no run begin beside the one that it keeps alive",
    async () => {
      const fleet = new TestUtils.TestFleet({
        workers: [1, 1],
        longestLeaseMs: LONGEST_LEASE_MS,
      });
      const { workers, clock } = fleet;
      fleet.keepsIds = true;
      fleet.resetsClocks = true;
      fleet.restartDelayMs = RESTART_MS;
      workers.lateMs = LATE_MS;
      workers.behave = () => ({ runMs: 60_000, fails: false });
      fleet.unlist("worker-1");
      await fleet.start();
      await clock.advance(LONGEST_LEASE_MS);
      const steps = [TestUtils.buildStep({ estimateMs: 60_000 })];
      await fleet.submit("node-1", ID, { steps });
      await fleet.until(() => workers.runs.length === 1);
      let sentAtMs: number | null = null;
      workers.decideOutcome = (_, order) => {
        if (order !== "renew" || sentAtMs !== null) return Delivered;
        sentAtMs = clock.monotonicMs();
        return Late;
      };
      await fleet.until(() => sentAtMs !== null);
      const deliveredAtMs = clock.monotonicMs() + LATE_MS;
      workers.crash("worker-0");
      await fleet.until(() => workers.runs.length === 2);
      vitest.expect(workers.runs[1].worker).toBe("worker-0");
      await clock.advance(deliveredAtMs + DELIVERY_MS - clock.monotonicMs());
      workers.decideOutcome = (endpoint) =>
        endpoint === "worker-0" ? Lost : Delivered;
      fleet.list({ id: "worker-1", accelerators: 1 }, 1);
      const isElsewhere = () => workers.runs.length === 3;
      vitest.expect(await fleet.until(isElsewhere)).toBe(true);
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      await fleet.stop();
    },
  );
});
