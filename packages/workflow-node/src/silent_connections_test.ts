/**
 * All open connections of all boxes turn silent at once: to the store, to endpoints and
 * between boxes. New connections work.
 */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

/** Time within which urgent work must start on the strictest sites, in ms. */
const MAX_URGENT_START_MS = 2900;
const LONG_ID = "a000000000000001";
const URGENT_ID = "a000000000000002";
/** Moments of the silence, spread over the time between two renewals, in ms. */
const OFFSETS_MS: readonly number[] = [0, 90, 180, 270, 340];
/** Time after which all effects of the silence must be over, in ms. */
const SETTLE_MS = 6000;

async function startFleet(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({
    boxes: 4,
    workers: Array.from({ length: 12 }, () => 2),
  });
  fleet.workers.behave = (task) => ({
    runMs: task.startsWith(LONG_ID) ? 60_000 : 800,
    fails: false,
  });
  await fleet.start();
  const steps = [TestUtils.buildStep({ count: 10, estimateMs: 60_000 })];
  await fleet.submit("node-1", LONG_ID, { steps });
  await fleet.until(() => fleet.workers.runs.length === 10);
  await fleet.clock.advance(1000);
  return fleet;
}

/** Submits the urgent workflow; tries another box after a failure, as callers do. */
async function submitUrgent(fleet: TestUtils.TestFleet): Promise<void> {
  for (const name of fleet.boxes.keys()) {
    const done = await fleet.submit(name, URGENT_ID, { priority: 0 })
      .then(() => true, () => false);
    if (done) return;
  }
}

/** Checks that the urgent workflow runs in time and once, and that no run is lost. */
async function expectServed(
  fleet: TestUtils.TestFleet,
  timeoutMs = MAX_URGENT_START_MS,
): Promise<void> {
  const startedAtMs = fleet.clock.monotonicMs();
  await submitUrgent(fleet);
  const task = `${URGENT_ID}.0.0.0`;
  const remainingMs = timeoutMs - (fleet.clock.monotonicMs() - startedAtMs);
  const isStarted = () => fleet.workers.runsOf(task).length > 0;
  vitest.expect(await fleet.until(isStarted, remainingMs)).toBe(true);
  await fleet.clock.advance(SETTLE_MS);
  fleet.workers.update();
  vitest.expect(fleet.workers.runsOf(task)).toHaveLength(1);
  vitest.expect(fleet.state(URGENT_ID)).toBe(Workflow.WorkflowState.Completed);
  const ends = fleet.workers.runs.filter(({ task: name, how }) =>
    name.startsWith(LONG_ID) && how !== null
  );
  vitest.expect(ends).toEqual([]);
}

vitest.describe("when all connections turn silent at once", () => {
  for (const offsetMs of OFFSETS_MS) {
    vitest.it(`urgent work starts in time (${offsetMs} ms)`, async () => {
      const fleet = await startFleet();
      const token = fleet.token();
      await fleet.clock.advance(offsetMs);
      fleet.silenceConnections();
      await expectServed(fleet);
      vitest.expect(fleet.token()).toBe(token);
      await fleet.stop();
    });
  }

  vitest.it("in a takeover, urgent work starts in time", async () => {
    const fleet = await startFleet();
    const token = fleet.token();
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.until(() => fleet.token() > token);
    fleet.silenceConnections();
    await expectServed(fleet);
    vitest.expect(fleet.token()).toBe(token + 1);
    await fleet.stop();
  });

  vitest.it("in a rolling restart, urgent work starts in time", async () => {
    const fleet = await startFleet();
    for (const name of [...fleet.boxes.keys()]) {
      await fleet.run(fleet.box(name).leave());
      fleet.silenceConnections();
      await fleet.kill(name);
      fleet.startBox(name);
      await fleet.clock.advance(2000);
    }
    fleet.silenceConnections();
    await expectServed(fleet);
    await fleet.stop();
  });

  vitest.it("while the store is slow, work starts in time", async () => {
    const fleet = await startFleet();
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ delayMs: 300 });
    }
    await fleet.clock.advance(1000);
    fleet.silenceConnections();
    await expectServed(fleet, MAX_URGENT_START_MS * 2);
    await fleet.stop();
  });
});
