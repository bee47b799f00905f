/** Tasks that end the endpoints on which they start are given up. */
import type * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHER = "c000000000000001";
/** Time from the start to the crash in the users' record, in ms. */
const SOON_MS = 10;
const LIMIT_MS = 60_000;
/** Crashes after which starts are counted, and starts that are too many then. */
const CRASHES = 3;
const TOO_MANY_STARTS = 3;

/** Makes the tasks of one workflow crash whatever starts them. */
function letCrash(
  fleet: TestUtils.TestFleet,
  isCrasher: (task: string) => boolean,
  crashesAfterMs = SOON_MS,
): void {
  fleet.workers.behave = (task) =>
    isCrasher(task)
      ? { runMs: 60_000, fails: false, crashesAfterMs }
      : { runMs: 1000, fails: false };
}

/** Starts of a task after the third crash under it. */
function startsAfterCrashes(fleet: TestUtils.TestFleet, task: string): number {
  const runs = fleet.workers.runsOf(task);
  const crashes = runs.filter(({ how }) => how === "crashed")
    .map(({ endedAtMs }) => endedAtMs ?? 0)
    .sort((a, b) => a - b);
  if (crashes.length < CRASHES) return 0;
  const thirdAtMs = crashes[CRASHES - 1];
  return runs.filter(isAfter(thirdAtMs)).length;
}

function isAfter(atMs: number) {
  return (note: StandIns.TaskRunNote) => note.startedAtMs > atMs;
}

vitest.describe("a task that crashes its endpoints", () => {
  vitest.it("is given up after three crashes", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    letCrash(fleet, (task) => task.startsWith(CRASHER));
    await fleet.start();
    await fleet.submit("node-1", CRASHER);
    const isFailed = () =>
      fleet.state(CRASHER) === Workflow.WorkflowState.Failed;
    const gaveUp = await fleet.until(isFailed, LIMIT_MS);
    await fleet.clock.advance(LIMIT_MS / 2);
    vitest.expect(startsAfterCrashes(fleet, `${CRASHER}.0.0.0`))
      .toBeLessThan(TOO_MANY_STARTS);
    vitest.expect(gaveUp).toBe(true);
    await fleet.stop();
  });
});
