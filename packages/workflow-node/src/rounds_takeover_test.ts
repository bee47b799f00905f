/**
 * Workflows whose steps run again and again survive takeovers: no round is lost, and
 * tasks that are done do not start again.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const IDS = ["a000000000000001", "a000000000000002", "a000000000000003"];
const ROUNDS = 8;
/** Rounds of a workflow whose record has one entry for all tasks. */
const MANY_ROUNDS = 300;
const EVERY_MS = 2000;
const STEPS = [
  TestUtils.buildStep({ count: 4, accelerators: 0 }),
  TestUtils.buildStep({ count: 3, accelerators: 0, after: [0] }),
];

/** Kills the coordinator and waits for the next one. */
async function replaceCoordinator(fleet: TestUtils.TestFleet): Promise<void> {
  const name = fleet.coordinator() ?? "";
  await fleet.kill(name);
  await fleet.until(() => ![null, name].includes(fleet.coordinator()));
}

/** Names of the tasks that have at least this many runs. */
function tasksWithRuns(fleet: TestUtils.TestFleet, count: number): string[] {
  const counts = new Map<string, number>();
  for (const { task } of fleet.workers.runs) {
    counts.set(task, (counts.get(task) ?? 0) + 1);
  }
  return [...counts].filter(([, runs]) => runs >= count).map(([name]) => name);
}

async function submitAll(
  fleet: TestUtils.TestFleet,
  schedule: Workflow.Schedule,
): Promise<void> {
  const [box] = fleet.boxes.keys();
  for (const id of IDS) await fleet.submit(box, id, { steps: STEPS, schedule });
}

vitest.describe("the rounds of a workflow", () => {
  vitest.it("run once each, whatever was done before a takeover", async () => {
    const fleet = new TestUtils.TestFleet({ boxes: 4 });
    fleet.workers.behave = () => ({ runMs: 300, fails: false });
    await fleet.start();
    const firstAtMs = fleet.clock.wallMs() + EVERY_MS;
    const rounds = ROUNDS;
    await submitAll(fleet, { firstAtMs, everyMs: EVERY_MS, rounds });
    for (const round of [2, 4]) {
      const dueMs = firstAtMs + round * EVERY_MS;
      await fleet.until(() => fleet.clock.wallMs() > dueMs + EVERY_MS / 2);
      await replaceCoordinator(fleet);
    }
    const areCompleted = () =>
      IDS.every((id) => fleet.state(id) === Workflow.WorkflowState.Completed);
    vitest.expect(await fleet.until(areCompleted)).toBe(true);
    const tasks = IDS.length * ROUNDS * 7;
    vitest.expect(tasksWithRuns(fleet, 1).length).toBe(tasks);
    vitest.expect(tasksWithRuns(fleet, 2)).toEqual([]);
    await fleet.stop();
  });

  vitest.it(
    "run once each, where one record entry holds them all",
    async () => {
      const fleet = new TestUtils.TestFleet({ boxes: 4 });
      fleet.workers.behave = () => ({ runMs: 100, fails: false });
      await fleet.start();
      const firstAtMs = fleet.clock.wallMs() - 20 * EVERY_MS;
      const rounds = MANY_ROUNDS;
      await submitAll(fleet, { firstAtMs, everyMs: EVERY_MS, rounds });
      for (const round of [22, 24]) {
        const dueMs = firstAtMs + round * EVERY_MS;
        await fleet.until(() => fleet.clock.wallMs() > dueMs + EVERY_MS / 2);
        await replaceCoordinator(fleet);
      }
      const dueRounds = 28;
      const areDone = () =>
        tasksWithRuns(fleet, 1).length >= IDS.length * dueRounds * 7;
      vitest.expect(await fleet.until(areDone)).toBe(true);
      vitest.expect(tasksWithRuns(fleet, 2)).toEqual([]);
      await fleet.stop();
    },
  );
});
