/**
 * Endpoints leave without an announcement: their entry is removed, they continue to
 * serve for some time, and another one is at the address afterwards. An endpoint that
 * answers after the removal has left and not crashed: its end counts against no task.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Duration of a run, in ms; longer than an endpoint continues to serve. */
const RUN_MS = 6000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Time from the start of a run until its endpoint is unlisted, in ms. */
const UNLIST_DELAY_MS = 500;
/** Time for which an endpoint continues to serve, in ms: several polls. */
const SHUTDOWN_MS = 3000;
/** Time after which another endpoint is at the address, in ms. */
const REPLACEMENT_DELAY_MS = 200;
const TIMEOUT_MS = 60_000;

async function startTask(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
  fleet.restartDelayMs = REPLACEMENT_DELAY_MS;
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  await fleet.submit("node-1", ID, { steps: STEPS });
  return fleet;
}

/** Removes the task's endpoints one after another; returns how its runs ended. */
async function leaveRepeatedly(
  fleet: TestUtils.TestFleet,
  times: number,
): Promise<unknown[]> {
  for (let i = 1; i <= times; i++) {
    const hasStarted = () => fleet.workers.runs.length >= i;
    if (!await fleet.until(hasStarted, TIMEOUT_MS)) break;
    await fleet.clock.advance(UNLIST_DELAY_MS);
    const { worker } = fleet.workers.runs[i - 1];
    fleet.unlist(worker);
    await fleet.clock.advance(SHUTDOWN_MS);
    fleet.workers.crash(worker);
  }
  await fleet.until(isDone(fleet), TIMEOUT_MS);
  return fleet.workers.runs.map(({ how }) => how);
}

function isDone(fleet: TestUtils.TestFleet): () => boolean {
  return () => fleet.state(ID) === Workflow.WorkflowState.Completed;
}

vitest.describe("an endpoint that leaves unannounced", () => {
  for (const times of [1, 2, 5]) {
    vitest.it(`counts against no task, ${times} in a row`, async () => {
      const fleet = await startTask();
      const ends = await leaveRepeatedly(fleet, times);
      const crashed = Array.from({ length: times }, () => "crashed");
      vitest.expect(ends).toEqual([...crashed, "done"]);
      vitest.expect(isDone(fleet)()).toBe(true);
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      await fleet.stop();
    });
  }

  vitest.it("completes its run before another takes its address", async () => {
    const fleet = await startTask();
    await fleet.until(() => fleet.workers.runs.length === 1);
    const [{ worker }] = fleet.workers.runs;
    fleet.unlist(worker);
    vitest.expect(await fleet.until(isDone(fleet), TIMEOUT_MS)).toBe(true);
    fleet.workers.crash(worker);
    await fleet.clock.advance(RUN_MS);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    vitest.expect(isDone(fleet)()).toBe(true);
    await fleet.stop();
  });
});
