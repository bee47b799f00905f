/**
 * Guards against a second run beside the first: an endpoint leaves the list and comes
 * back under its id with a clock that begins anew, a late renewal of the closed session
 * gives it the longest lease, and it becomes unreachable.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const IDS = ["a000000000000001", "a000000000000002"];
/** Longest lease that endpoints accept, in ms: longer than those that are granted. */
const LONGEST_LEASE_MS = 10_000;
const SHORT_RUN_MS = 3000;
const LONG_RUN_MS = 60_000;
/** Time for the delivery of a late order, and for an answer, in ms. */
const DELIVERY_MS = 50;

const { Delivered, Late, Lost } = StandIns.OrderOutcome;

async function startFleet(restartMs: number, lateMs: number) {
  const fleet = new TestUtils.TestFleet({
    workers: [1, 1],
    longestLeaseMs: LONGEST_LEASE_MS,
  });
  fleet.keepsIds = true;
  fleet.resetsClocks = true;
  fleet.restartDelayMs = restartMs;
  fleet.workers.lateMs = lateMs;
  fleet.unlist("worker-1");
  await fleet.start();
  await fleet.clock.advance(2 * LONGEST_LEASE_MS);
  return fleet;
}

async function submit(fleet: TestUtils.TestFleet, id: string, runMs: number) {
  fleet.workers.behave = () => ({ runMs, fails: false });
  const steps = [TestUtils.buildStep({ estimateMs: runMs })];
  await fleet.submit("node-1", id, { steps });
}

/** Makes the next renewal late; returns the time at which it is delivered, in ms. */
async function delayRenewal(fleet: TestUtils.TestFleet): Promise<number> {
  const { workers, clock } = fleet;
  let sentAtMs: number | null = null;
  workers.decideOutcome = (_, order) => {
    if (order !== "renew" || sentAtMs !== null) return Delivered;
    sentAtMs = clock.monotonicMs();
    return Late;
  };
  await fleet.until(() => sentAtMs !== null);
  return clock.monotonicMs() + workers.lateMs;
}

async function restartEndpoint(fleet: TestUtils.TestFleet): Promise<void> {
  fleet.workers.crash("worker-0");
  fleet.unlist("worker-0");
  await fleet.clock.advance(fleet.restartDelayMs + 2 * DELIVERY_MS);
}

/** Cuts the endpoint off after the delivery, and expects no run beside that there. */
async function expectOneRunAtATime(
  fleet: TestUtils.TestFleet,
  deliveredAtMs: number,
): Promise<void> {
  const { workers, clock } = fleet;
  await fleet.until(() => workers.runs.length === 2, 2000);
  vitest.expect(workers.runs[1].worker).toBe("worker-0");
  await clock.advance(deliveredAtMs + DELIVERY_MS - clock.monotonicMs());
  workers.decideOutcome = (id) => id === "worker-0" ? Lost : Delivered;
  fleet.list({ id: "worker-1", accelerators: 1 }, 1);
  const isElsewhere = () => workers.runs.length === 3;
  vitest.expect(await fleet.until(isElsewhere, 30_000)).toBe(true);
  workers.update();
  vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
  await fleet.stop();
}

vitest.describe("a late renewal of a closed session", () => {
  vitest.it.each([[7500, 12_000], [8000, 12_000], [8000, 14_000]])(
    "keeps no run alive beside the next one (back after %s ms, late %s ms)",
    async (restartMs, lateMs) => {
      const fleet = await startFleet(restartMs, lateMs);
      await submit(fleet, IDS[0], LONG_RUN_MS);
      await fleet.until(() => fleet.workers.runs.length === 1);
      await fleet.clock.advance(1000);
      const deliveredAtMs = await delayRenewal(fleet);
      await restartEndpoint(fleet);
      await expectOneRunAtATime(fleet, deliveredAtMs);
    },
  );

  vitest.it.each([[2000, 9000], [4000, 9000], [4000, 11_000]])(
    "does so where the endpoint was idle (back after %s ms, late %s ms)",
    async (restartMs, lateMs) => {
      const fleet = await startFleet(restartMs, lateMs);
      await submit(fleet, IDS[0], SHORT_RUN_MS);
      await fleet.until(() => fleet.workers.runs.length === 1);
      await fleet.clock.advance(1000);
      const deliveredAtMs = await delayRenewal(fleet);
      await fleet.until(() => fleet.workers.runs[0].endedAtMs !== null);
      await fleet.clock.advance(500);
      await restartEndpoint(fleet);
      await submit(fleet, IDS[1], LONG_RUN_MS);
      await expectOneRunAtATime(fleet, deliveredAtMs);
    },
  );
});
