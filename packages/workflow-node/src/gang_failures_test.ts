/**
 * Guards against giving up a gang one failed run too early. A run counts as one
 * failure, however many of its members fail. A member fails, and the failure is
 * recorded; another member fails on an unreachable endpoint; another box takes over
 * and receives the second report. Unless the record lists the runs that have counted,
 * that box counts the run again (seed 47 of random_slow_ends_test, run 5).
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const RUN_MS = 20_000;
/** Failed runs after which the gang is given up. */
const ATTEMPTS = 2;
/** Time to write a record or to report a failure, in ms. */
const DELIVERY_MS = 500;
/** Time for a takeover and a restart of the gang, in ms. */
const TIMEOUT_MS = 20_000;

/** Starts a gang of two on two endpoints; two further endpoints are free. */
async function startGang(): Promise<TestUtils.TestFleet> {
  const access = TestUtils.buildAccess();
  const queues = access.queues.map((queue) => ({
    ...queue,
    attempts: ATTEMPTS,
  }));
  const fleet = new TestUtils.TestFleet({
    workers: [1, 1, 1, 1],
    config: { ...access, queues },
  });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  fleet.workers.gangEndDelayMs = () => RUN_MS;
  await fleet.start();
  const steps = [
    TestUtils.buildStep({ count: 2, gang: true, estimateMs: RUN_MS }),
  ];
  await fleet.submit("node-1", ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === 2);
  await fleet.clock.advance(DELIVERY_MS);
  return fleet;
}

/** Fails both members in one run; the second is reported after `meanwhile`. */
async function failTwice(
  fleet: TestUtils.TestFleet,
  meanwhile: () => Promise<void>,
): Promise<void> {
  const [first, second] = fleet.workers.runs;
  fleet.workers.decideOutcome = (endpoint) =>
    endpoint === second.worker
      ? StandIns.OrderOutcome.Lost
      : StandIns.OrderOutcome.Delivered;
  fleet.workers.endNow(first.task, "failed");
  await fleet.clock.advance(DELIVERY_MS);
  fleet.workers.endNow(second.task, "failed");
  await meanwhile();
  fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
}

/** Returns whether both members run again in time. */
function restarts(fleet: TestUtils.TestFleet): Promise<boolean> {
  const hasRestarted = () => fleet.workers.runs.length === 4;
  return fleet.until(hasRestarted, TIMEOUT_MS);
}

vitest.describe("a gang run in which two members fail", () => {
  vitest.it("counts as one failure", async () => {
    const fleet = await startGang();
    await failTwice(fleet, () => fleet.clock.advance(DELIVERY_MS));
    vitest.expect(await restarts(fleet)).toBe(true);
    await fleet.stop();
  });

  vitest.it("counts as one failure also after a takeover", async () => {
    const fleet = await startGang();
    await failTwice(fleet, () => fleet.kill(fleet.coordinator() ?? ""));
    vitest.expect(await restarts(fleet)).toBe(true);
    vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Running);
    await fleet.stop();
  });
});
