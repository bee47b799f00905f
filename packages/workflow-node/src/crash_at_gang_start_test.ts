/**
 * Guards against a gang that stands still for longer than callers accept: an endpoint
 * crashes for good at the start of its member. The start has no answer, so the ends of the
 * others prove nothing, and only the lease does.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

const ID = "a000000000000001";
const SIZE = 5;
/** Endpoints with one accelerator each; most of them stay free. */
const ENDPOINTS = 16;
const RUN_MS = 60_000;
/** Longest time that callers accept idle work while there is capacity, in ms. */
const MAX_IDLE_MS = 3000;
/** Time without faults before it, in ms. */
const CALM_MS = 4000;

vitest.describe("a gang whose member crashes its endpoint at its start", () => {
  for (const outcome of ["Answers", "Resets", "Silent"] as const) {
    vitest.it(`does not stand still (${outcome})`, async () => {
      const fleet = new TestUtils.TestFleet({
        workers: Array.from({ length: ENDPOINTS }, () => 1),
      });
      fleet.workers.atDeadAddress = StandIns.DeadAddressOutcome[outcome];
      fleet.workers.onCrash = () => {};
      let hasCrashed = false;
      fleet.workers.behave = (task) => {
        const crashes = !hasCrashed && task === `${ID}.0.0.${SIZE - 1}`;
        hasCrashed ||= crashes;
        const behaviour = { runMs: RUN_MS, fails: false };
        return crashes ? { ...behaviour, crashesAfterMs: 0 } : behaviour;
      };
      await fleet.start();
      const steps = [
        TestUtils.buildStep({ count: SIZE, gang: true, estimateMs: RUN_MS }),
      ];
      await fleet.submit("node-1", ID, { steps });
      await fleet.until(() => hasCrashed);
      const isAgain = () => fleet.workers.runs.length === 2 * SIZE;
      const limitMs = MAX_IDLE_MS + CALM_MS;
      vitest.expect(await fleet.until(isAgain, limitMs)).toBe(true);
      await fleet.clock.advance(3000);
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      await fleet.stop();
    });
  }
});
