/**
 * Guards against repeating completed work: an endpoint restarts under its id, and a late
 * start of a completed run is delivered there some milliseconds after it listens again.
 * A stop has to reach the endpoint in between.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Exceeds the duration of the tests, in ms. */
const NEVER_MS = 600_000;
/** Time from the sending of a late start to its delivery, in ms. */
const LATE_START_DELAY_MS = 2500;
/**
 * Times from the crash of the endpoint to the delivery of the late start, in ms. Stops
 * are sent at fixed intervals after the crash, so each time meets another phase.
 */
const CRASH_LEADS_MS: readonly number[] = [1200, 1175, 1150, 1125];
/** Time from the return of the endpoint to the delivery of the late start, in ms. */
const RETURN_LEAD_MS = 30;
/** Time after which all late orders are delivered, in ms. */
const SETTLED_MS = 5000;

const { Delivered, Late } = StandIns.OrderOutcome;

/** Completes one task whose first start is still to be delivered. */
async function completeTask(fleet: TestUtils.TestFleet) {
  const { workers, clock } = fleet;
  fleet.keepsIds = true;
  fleet.resetsClocks = true;
  fleet.restartDelayMs = NEVER_MS;
  workers.behave = () => ({ runMs: 100, fails: false });
  await fleet.start();
  const sentAtMs: number[] = [];
  workers.decideOutcome = (_, order) => {
    if (order !== "start") return Delivered;
    sentAtMs.push(clock.monotonicMs());
    return sentAtMs.length === 1 ? Late : Delivered;
  };
  const steps = [TestUtils.buildStep({ estimateMs: 100 })];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() =>
    workers.runs.some(({ acknowledgedAtMs }) => acknowledgedAtMs !== null)
  );
  return sentAtMs[0] + LATE_START_DELAY_MS;
}

async function advanceTo({ clock }: TestUtils.TestFleet, atMs: number) {
  await clock.advance(atMs - clock.monotonicMs());
}

vitest.describe("a late start soon after the return of its endpoint", () => {
  for (const crashLeadMs of CRASH_LEADS_MS) {
    vitest.it(
      `does not repeat completed work, ${crashLeadMs} ms after the crash`,
      async () => {
        const fleet = new TestUtils.TestFleet({ workers: [1] });
        const deliveredAtMs = await completeTask(fleet);
        const { workers } = fleet;
        const [{ worker: id }] = workers.runs;
        await advanceTo(fleet, deliveredAtMs - crashLeadMs);
        workers.crash(id);
        await advanceTo(fleet, deliveredAtMs - RETURN_LEAD_MS);
        workers.restart({ id, accelerators: 1 });
        await fleet.clock.advance(SETTLED_MS);
        vitest.expect(workers.runs.length).toBe(1);
        vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
        await fleet.stop();
      },
    );
  }
});
