/**
 * Endpoints that leave without a word: their entry goes, they serve on for a while,
 * and another one is at the address afterwards. One that answers after its entry
 * has gone has left and not crashed: its end is laid to no task.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Time of a run, in ms: longer than an endpoint serves on. */
const RUN_MS = 6000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Time from the start of a run until the entry of its endpoint goes, in ms. */
const UNLIST_DELAY_MS = 500;
/** Time for which an endpoint serves on, in ms: several looks answer in it. */
const SHUTDOWN_MS = 3000;
/** Time after which another endpoint is at the address, in ms. */
const REPLACEMENT_DELAY_MS = 200;
const TIMEOUT_MS = 60_000;

async function startTask(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
  fleet.crashBackMs = REPLACEMENT_DELAY_MS;
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  await fleet.submit("node-1", ID, { steps: STEPS });
  return fleet;
}

/** Endpoints leave under the task one after another; returns how its runs ended. */
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

vitest.describe("an endpoint that leaves without a word", () => {
  for (const times of [1, 2, 5]) {
    vitest.it(`is laid to no task, ${times} in a row`, async () => {
      const fleet = await startTask();
      const ends = await leaveRepeatedly(fleet, times);
      const crashed = Array.from({ length: times }, () => "crashed");
      vitest.expect(ends).toEqual([...crashed, "done"]);
      vitest.expect(isDone(fleet)()).toBe(true);
      vitest.expect(TestUtils.findBrokenRuns(fleet)).toEqual([]);
      await fleet.stop();
    });
  }

  vitest.it("ends its run before another takes its address", async () => {
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
