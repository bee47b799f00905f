/**
 * Endpoints that restart under the same id. Guards against completed runs that are
 * repeated, and steps that never start because a task before them is repeated for ever.
 * Each incarnation numbers the ends that it reports from 1. A coordinator that keeps
 * the last processed number by the endpoint's id alone ignores the first ends reported
 * after a restart, so the completed runs count as lost and start again.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Duration of a run, in ms. */
const RUN_MS = 600;
/** Time between two submissions, in ms. */
const SUBMIT_INTERVAL_MS = 500;
/** Longest time that runnable work may wait while there is free capacity, in ms. */
const MAX_STALL_MS = 3000;
const COMPLETION_TIMEOUT_MS = 60_000;
/** Times from a crash until the endpoint is back, in ms. */
const RESTART_DELAYS_MS: readonly number[] = [50, 500, 3000, 8000];
/** Real time for one test, in ms; it takes some seconds alone. */
const TEST_TIMEOUT_MS = 60_000;

function idOf(index: number): string {
  return `a${String(index).padStart(15, "0")}`;
}

function isOver(fleet: TestUtils.TestFleet, id: string): boolean {
  const state = fleet.state(id);
  return state !== null && Workflow.isFinal(state);
}

/** Starts a fleet whose endpoints restart under the same ids. */
async function startFleet(
  workers: readonly number[],
  restartDelayMs: number,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers });
  fleet.keepsIds = true;
  fleet.restartDelayMs = restartDelayMs;
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  return fleet;
}

/** Crashes two endpoints in turn while work is submitted; returns the violations. */
async function runCrashes(backMs: number): Promise<string[]> {
  const fleet = await startFleet([4, 4], backMs);
  const ids: string[] = [];
  for (let i = 0; i < 24; i++) {
    await fleet.submit("node-1", idOf(i));
    ids.push(idOf(i));
    await fleet.clock.advance(SUBMIT_INTERVAL_MS);
    if (i % 5 === 4) fleet.workers.crash(`worker-${i % 2}`);
  }
  await fleet.until(
    () => ids.every((id) => isOver(fleet, id)),
    COMPLETION_TIMEOUT_MS,
  );
  const broken = TestUtils.findRunViolations(fleet);
  const isIncomplete = (id: string) =>
    fleet.state(id) !== Workflow.WorkflowState.Completed;
  broken.push(...ids.filter(isIncomplete).map((id) => `${id} not completed`));
  await fleet.stop();
  return broken;
}

vitest.describe("endpoints that restart under the same id", () => {
  vitest.it("run nothing twice after a fast or slow restart", async () => {
    const broken: string[] = [];
    for (const backMs of RESTART_DELAYS_MS) {
      const found = await runCrashes(backMs);
      broken.push(...found.map((text) => `back after ${backMs} ms: ${text}`));
    }
    vitest.expect(broken).toEqual([]);
  }, TEST_TIMEOUT_MS);

  vitest.it("delay no step whose predecessor is done", async () => {
    const sizes = Array.from({ length: 20 }, () => 8);
    const fleet = await startFleet(sizes, 500);
    // Each endpoint has reported 40 ends before its restart.
    for (let i = 10; i < 15; i++) {
      const steps = [TestUtils.buildStep({ count: 160 })];
      await fleet.submit("node-1", idOf(i), { steps });
      await fleet.until(() => isOver(fleet, idOf(i)), COMPLETION_TIMEOUT_MS);
    }
    for (const id of fleet.workers.listRunning()) fleet.workers.crash(id);
    await fleet.clock.advance(2000);
    const wide = TestUtils.buildStep({ count: 120, after: [0] });
    const steps = [TestUtils.buildStep({ count: 3 }), wide];
    await fleet.submit("node-1", idOf(1), { steps });
    const first = [0, 1, 2].map((task) => `${idOf(1)}.0.0.${task}`);
    const isDone = (task: string) =>
      fleet.workers.runsOf(task).some(({ how }) => how === "done");
    await fleet.until(() => {
      fleet.workers.update();
      return first.every(isDone);
    });
    await fleet.clock.advance(MAX_STALL_MS);
    const started = Array.from({ length: 120 }, (_, i) => `${idOf(1)}.0.1.${i}`)
      .filter((task) => fleet.workers.runsOf(task).length > 0);
    vitest.expect(started.length).toBe(120);
    await fleet.until(() => isOver(fleet, idOf(1)), COMPLETION_TIMEOUT_MS);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  }, TEST_TIMEOUT_MS);

  vitest.it("count the failures of each incarnation", async () => {
    const fleet = await startFleet([4], 500);
    await fleet.submit("node-1", idOf(0), {
      steps: [TestUtils.buildStep({ count: 12 })],
    });
    await fleet.until(() => isOver(fleet, idOf(0)), COMPLETION_TIMEOUT_MS);
    fleet.workers.crash("worker-0");
    await fleet.clock.advance(2000);
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: true });
    await fleet.submit("node-1", idOf(1));
    await fleet.until(() => isOver(fleet, idOf(1)), COMPLETION_TIMEOUT_MS);
    const runs = fleet.workers.runsOf(`${idOf(1)}.0.0.0`);
    vitest.expect(runs.map(({ how }) => how))
      .toEqual(["failed", "failed", "failed"]);
    vitest.expect(fleet.state(idOf(1))).toBe(Workflow.WorkflowState.Failed);
    await fleet.stop();
  });
});
