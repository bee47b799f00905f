/**
 * Guards against repeating completed work: an endpoint restarts under its id, and a late
 * start of a completed run is delivered there some milliseconds after it listens again.
 * A stop has to reach the endpoint in between.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Exceeds the duration of the tests, in ms. */
const NEVER_MS = 600_000;
/**
 * Times from the crash of the endpoint to the delivery of the late start, in ms. Stops
 * are sent at fixed intervals after the crash, so each time meets another phase.
 */
const CRASH_LEADS_MS: readonly number[] = [1200, 1175, 1150, 1125];
/** Time from the return of the endpoint to the delivery of the late start, in ms. */
const RETURN_LEAD_MS = 30;
/** Time after which all late orders are delivered, in ms. */
const SETTLED_MS = 5000;

/** Completes one task; returns the time at which its first start is delivered. */
async function completeTask(fleet: TestUtils.TestFleet): Promise<number> {
  fleet.keepsIds = true;
  fleet.resetsClocks = true;
  fleet.restartDelayMs = NEVER_MS;
  await fleet.start();
  return await TestUtils.completeBeforeLateStart(fleet, {
    id: ID,
    runMs: 100,
  });
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
