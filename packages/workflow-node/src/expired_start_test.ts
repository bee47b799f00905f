/**
 * Guards against repeating completed work: an endpoint restarts under its id, every call
 * to it is lost, and a late copy of the start of a completed run is delivered there.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 100;
/** Time from the crash of the endpoint to its next incarnation, in ms. */
const RESTART_MS = 200;
/** Times from the sending of a late start to its delivery, in ms. */
const LATE_START_DELAYS_MS: readonly number[] = [1000, 2000, 2500, 5000];
/** Time from the birth of the next incarnation to the delivery, in ms. */
const BIRTH_LEAD_MS = 330;
/** Time after which the late start is delivered, in ms. */
const SETTLED_MS = 1000;
/** Differences between the clocks of the next incarnation and the first one, in ms. */
const NEXT_CLOCKS_MS = { "goes on": 0, "begins anew ahead": 700 };

const { Lost } = StandIns.OrderOutcome;

/**
 * Completes a run whose first start is late, and restarts its endpoint, which no call
 * reaches any more, shortly before that start is delivered.
 */
async function restartBeforeLateStart(
  { lateMs, nextClockMs }: { lateMs: number; nextClockMs: number },
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [1] });
  const { workers, clock } = fleet;
  fleet.keepsIds = true;
  fleet.restartDelayMs = RESTART_MS;
  workers.lateMs = lateMs;
  await fleet.start();
  const deliveredAtMs = await TestUtils.completeBeforeLateStart(fleet, {
    id: ID,
    runMs: RUN_MS,
  });
  const crashAtMs = deliveredAtMs - BIRTH_LEAD_MS - RESTART_MS;
  await clock.advance(crashAtMs - clock.monotonicMs());
  workers.createClockOffsetMs = () => nextClockMs;
  workers.decideOutcome = () => Lost;
  workers.crash(workers.runs[0].worker);
  await clock.advance(deliveredAtMs + SETTLED_MS - clock.monotonicMs());
  return fleet;
}

vitest.describe("a late start of completed work", () => {
  for (const [clock, nextClockMs] of Object.entries(NEXT_CLOCKS_MS)) {
    for (const lateMs of LATE_START_DELAYS_MS) {
      vitest.it(
        `is refused after ${lateMs} ms if the endpoint's clock ${clock}`,
        async () => {
          const fleet = await restartBeforeLateStart({ lateMs, nextClockMs });
          vitest.expect(fleet.workers.runs.length).toBe(1);
          await fleet.stop();
        },
      );
    }
  }

  /** A lease in the clock of the previous incarnation then seems to be a long one. */
  vitest.it(
    "is refused if the endpoint's clock begins anew behind",
    async () => {
      const fleet = await restartBeforeLateStart({
        lateMs: 2500,
        nextClockMs: -60_000,
      });
      vitest.expect(fleet.workers.runs.length).toBe(1);
      await fleet.stop();
    },
  );
});
