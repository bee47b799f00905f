/** Guards against work that stands still for longer than callers accept after a crash. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import type * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Endpoints with one accelerator each; most of them stay free. */
const ENDPOINTS = 16;
/** Longest lease that endpoints accept, in ms: longer than callers wait. */
const LONGEST_LEASE_MS = 10_000;
/** Longest time from the answer to a stop to the end of the run, in ms. */
const STOP_MS = 900;
/** Longest time that callers accept idle work while there is capacity, in ms. */
const MAX_IDLE_MS = 3000;
/** Time without faults before it, in ms. */
const CALM_MS = 4000;
/** Time from the start of the work to the crash, in ms. */
const CRASHES_AFTER_MS = [0, 700, 1900];

const WORK: Readonly<Record<string, Partial<Workflow.StepSpec>>> = {
  "a single task": {},
  "a lasting task": { lasting: true },
  "a gang": { count: 5, gang: true },
};

/** Starts a fleet and one workflow with this step. */
async function startFleet(
  step: Partial<Workflow.StepSpec>,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({
    workers: Array.from({ length: ENDPOINTS }, () => 1),
    longestLeaseMs: LONGEST_LEASE_MS,
    stopMs: STOP_MS,
  });
  fleet.workers.stopDelayMs = () => STOP_MS;
  fleet.workers.behave = () => ({ runMs: 60_000, fails: false });
  fleet.workers.onCrash = () => {};
  await fleet.start();
  // Beyond the leases that an earlier coordinator might have granted.
  await fleet.clock.advance(2 * LONGEST_LEASE_MS);
  const steps = [TestUtils.buildStep({ estimateMs: 60_000, ...step })];
  await fleet.submit("node-1", ID, { steps });
  return fleet;
}

/** Crashes the endpoint of a run for good; returns the idle time until the next start. */
async function measureIdleMs(
  fleet: TestUtils.TestFleet,
  { task, worker, run }: StandIns.TaskRunRecord,
): Promise<number> {
  const crashedAtMs = fleet.clock.monotonicMs();
  fleet.workers.crash(worker);
  const isAgain = () =>
    fleet.workers.runs.some((one) => one.task === task && one.run > run);
  vitest.expect(await fleet.until(isAgain, 3 * LONGEST_LEASE_MS)).toBe(true);
  return fleet.clock.monotonicMs() - crashedAtMs;
}

vitest.describe("work of an endpoint that crashed for good", () => {
  for (const [what, step] of Object.entries(WORK)) {
    for (const outcome of ["Answers", "Resets", "Silent"] as const) {
      for (const afterMs of CRASHES_AFTER_MS) {
        const name = `${what} does not stand still (${outcome}, ${afterMs} ms)`;
        vitest.it(name, async () => {
          const fleet = await startFleet(step);
          fleet.workers.atDeadAddress = StandIns.DeadAddressOutcome[outcome];
          const { count = 1 } = step;
          await fleet.until(() => fleet.workers.runs.length === count);
          await fleet.clock.advance(afterMs);
          const [first] = fleet.workers.runs;
          const idleMs = await measureIdleMs(fleet, first);
          vitest.expect(idleMs).toBeLessThanOrEqual(MAX_IDLE_MS + CALM_MS);
          await fleet.clock.advance(LONGEST_LEASE_MS);
          vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
          await fleet.stop();
        });
      }
    }
  }
});
