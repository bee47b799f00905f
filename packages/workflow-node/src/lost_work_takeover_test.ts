/**
 * Guards against work that stands still after a takeover: its endpoint crashed before it,
 * and another one answers at the address to which the start was sent.
 */
import * as TestUtils from "@cairngate/test-utils";
import type * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Endpoints with one accelerator each; most of them stay free. */
const ENDPOINTS = 16;
const LONGEST_LEASE_MS = 10_000;
/** Longest time that callers accept idle work while there is capacity, in ms. */
const MAX_IDLE_MS = 3000;
/** Time without faults before it, in ms. */
const CALM_MS = 4000;
/** Time from the crash of the endpoint to that of the coordinator, in ms. */
const TAKEOVER_AFTER_MS = 100;
/** Times for which the entry of an ended endpoint stays after its replacement, in ms. */
const ENTRY_OVERLAPS_MS = [0, 20_000];

const WORK: Readonly<Record<string, Partial<Workflow.StepSpec>>> = {
  "a single task": {},
  "a lasting task": { lasting: true },
  "a gang": { count: 5, gang: true },
};

vitest.describe("work of an endpoint that crashed before a takeover", () => {
  for (const [what, step] of Object.entries(WORK)) {
    for (const overlapMs of ENTRY_OVERLAPS_MS) {
      const name = `${what} does not stand still (entry: ${overlapMs} ms)`;
      vitest.it(name, async () => {
        const fleet = new TestUtils.TestFleet({
          workers: Array.from({ length: ENDPOINTS }, () => 1),
          longestLeaseMs: LONGEST_LEASE_MS,
        });
        fleet.entryOverlapMs = overlapMs;
        fleet.workers.behave = () => ({ runMs: 60_000, fails: false });
        await fleet.start();
        const steps = [TestUtils.buildStep({ estimateMs: 60_000, ...step })];
        await fleet.submit("node-1", ID, { steps });
        const { count = 1 } = step;
        await fleet.until(() => fleet.workers.runs.length === count);
        await fleet.clock.advance(2 * LONGEST_LEASE_MS);
        fleet.workers.crash(fleet.workers.runs[0].worker);
        await fleet.clock.advance(TAKEOVER_AFTER_MS);
        await fleet.kill(fleet.coordinator() ?? "");
        const isAgain = () => fleet.workers.runs.length >= 2 * count;
        const limitMs = MAX_IDLE_MS + CALM_MS;
        vitest.expect(await fleet.until(isAgain, limitMs)).toBe(true);
        await fleet.clock.advance(LONGEST_LEASE_MS);
        vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
        await fleet.stop();
      });
    }
  }

  vitest.it.each([0, 300, 600])(
    "does not stand still where no entry is left (%s ms before the next one)",
    async (beforeMs) => {
      const fleet = new TestUtils.TestFleet({
        workers: Array.from({ length: ENDPOINTS }, () => 1),
        longestLeaseMs: LONGEST_LEASE_MS,
      });
      const { workers, clock, restartDelayMs } = fleet;
      workers.behave = () => ({ runMs: 60_000, fails: false });
      await fleet.start();
      const steps = [TestUtils.buildStep({ estimateMs: 60_000 })];
      await fleet.submit("node-1", ID, { steps });
      await fleet.until(() => workers.runs.length === 1);
      await clock.advance(2 * LONGEST_LEASE_MS);
      workers.crash(workers.runs[0].worker);
      await clock.advance(restartDelayMs - beforeMs);
      await fleet.kill(fleet.coordinator() ?? "");
      const isAgain = () => workers.runs.length >= 2;
      const limitMs = MAX_IDLE_MS + CALM_MS;
      vitest.expect(await fleet.until(isAgain, limitMs)).toBe(true);
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      await fleet.stop();
    },
  );
});
