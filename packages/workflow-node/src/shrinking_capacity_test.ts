/** A start never exceeds the capacity of an endpoint, even while that shrinks. */
import type * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ENDPOINT = "worker-0";
/** Accelerators of the endpoint; tests shrink it to three, two, one and none. */
const CAPACITY = 4;
/** Duration of a run, in ms: long compared with writes to a slow store. */
const RUN_MS = 2000;
/** Delay of the store, in ms; it separates the plan of a start from its order. */
const STORE_DELAY_MS = 400;

/** Starts a fleet whose endpoint accepts starts beyond its capacity. */
async function startFleet(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [CAPACITY] });
  fleet.workers.enforcesCapacity = false;
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  return fleet;
}

function resize(fleet: TestUtils.TestFleet, accelerators: number): void {
  fleet.list({ id: ENDPOINT, accelerators }, 0);
}

function ids(count: number): string[] {
  return Array.from(
    { length: count },
    (_, i) => `a${String(i).padStart(15, "0")}`,
  );
}

/** Highest number of concurrent runs at any start after a time. */
function maxConcurrency(
  fleet: TestUtils.TestFleet,
  sinceMs: number,
): number {
  fleet.workers.update();
  const isAt = (atMs: number) => (record: StandIns.TaskRunRecord) =>
    record.startedAtMs <= atMs && (record.endedAtMs ?? Infinity) > atMs;
  const later = fleet.workers.runs.filter(({ startedAtMs }) =>
    startedAtMs > sinceMs
  );
  const counts = later.map(({ startedAtMs }) =>
    fleet.workers.runs.filter(isAt(startedAtMs)).length
  );
  return Math.max(0, ...counts);
}

async function waitForAll(
  fleet: TestUtils.TestFleet,
  all: readonly string[],
): Promise<boolean> {
  const isDone = (id: string) =>
    fleet.state(id) === Workflow.WorkflowState.Completed;
  return await fleet.until(() => all.every(isDone), 60_000);
}

vitest.describe("an endpoint whose capacity shrinks", () => {
  vitest.it(
    "gets no start that was planned before and no longer fits",
    async () => {
      const fleet = await startFleet();
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
      }
      const all = ids(CAPACITY);
      const submissions = Promise.all(
        all.map((id) => fleet.submit("node-1", id)),
      );
      // The listing changes as soon as the record of a start is written.
      await fleet.until(() => fleet.table.rowsUnder("progress:").length > 0);
      resize(fleet, 1);
      const shrunkAtMs = fleet.clock.monotonicMs();
      await submissions;
      vitest.expect(await waitForAll(fleet, all)).toBe(true);
      vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBe(1);
      await fleet.stop();
    },
  );

  vitest.it(
    "starts nothing while it is over capacity, and resumes later",
    async () => {
      const fleet = await startFleet();
      const all = ids(CAPACITY + 2);
      for (const id of all) await fleet.submit("node-1", id);
      await fleet.until(() => fleet.workers.runs.length === CAPACITY);
      resize(fleet, 2);
      const shrunkAtMs = fleet.clock.monotonicMs();
      await fleet.clock.advance(RUN_MS / 2);
      vitest.expect(fleet.workers.runs.length).toBe(CAPACITY);
      vitest.expect(await waitForAll(fleet, all)).toBe(true);
      vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBeLessThanOrEqual(2);
      // The runs of the time before the change were left to complete.
      vitest.expect(fleet.workers.runs.length).toBe(all.length);
      await fleet.stop();
    },
  );

  vitest.it("counts runs that are being stopped", async () => {
    const fleet = await startFleet();
    const [first, second, third] = ids(3);
    await fleet.submit("node-1", first, { priority: 2 });
    await fleet.submit("node-1", second, { priority: 2 });
    await fleet.until(() => fleet.workers.runs.length === 2);
    resize(fleet, 2);
    const shrunkAtMs = fleet.clock.monotonicMs();
    await fleet.submit("node-1", third, { priority: 0 });
    vitest.expect(await waitForAll(fleet, [first, second, third])).toBe(true);
    vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBeLessThanOrEqual(2);
    await fleet.stop();
  });

  vitest.it(
    "starts nothing without capacity, and resumes when it grows",
    async () => {
      const fleet = await startFleet();
      resize(fleet, 0);
      await fleet.clock.advance(200);
      const all = ids(2);
      for (const id of all) await fleet.submit("node-1", id);
      await fleet.clock.advance(5000);
      vitest.expect(fleet.workers.runs.length).toBe(0);
      resize(fleet, CAPACITY);
      vitest.expect(await waitForAll(fleet, all)).toBe(true);
      await fleet.stop();
    },
  );

  vitest.it("stays within its capacity through a takeover", async () => {
    const fleet = await startFleet();
    const all = ids(CAPACITY + 2);
    for (const id of all) await fleet.submit("node-1", id);
    await fleet.until(() => fleet.workers.runs.length === CAPACITY);
    resize(fleet, 1);
    const shrunkAtMs = fleet.clock.monotonicMs();
    const coordinator = fleet.coordinator();
    if (coordinator !== null) await fleet.kill(coordinator);
    vitest.expect(await waitForAll(fleet, all)).toBe(true);
    vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "starts no member of a gang that no longer fits",
    async () => {
      const fleet = await startFleet();
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
      }
      const steps = [TestUtils.buildStep({ count: CAPACITY, gang: true })];
      const [id] = ids(1);
      const submissions = fleet.submit("node-1", id, { steps });
      await fleet.until(() => fleet.table.rowsUnder("progress:").length > 0);
      resize(fleet, CAPACITY - 1);
      await submissions;
      await fleet.clock.advance(5000);
      fleet.workers.update();
      const running = fleet.workers.runs.filter(({ how }) => how === null);
      vitest.expect(running).toEqual([]);
      resize(fleet, CAPACITY);
      vitest.expect(await waitForAll(fleet, [id])).toBe(true);
      await fleet.stop();
    },
  );

  vitest.it("is limited by each of its resources", async () => {
    const fleet = await startFleet();
    const place = fleet.indexOf(ENDPOINT);
    const spec = { id: ENDPOINT, accelerators: CAPACITY };
    // Memory for one task only; each needs 1,000 MB.
    fleet.list(spec, place, { memoryMb: 1500 });
    const shrunkAtMs = fleet.clock.monotonicMs();
    await fleet.clock.advance(200);
    const all = ids(3);
    for (const id of all) await fleet.submit("node-1", id);
    vitest.expect(await waitForAll(fleet, all)).toBe(true);
    vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "has its new capacity respected after an outage of the store",
    async () => {
      const fleet = await startFleet();
      const all = ids(CAPACITY + 1);
      for (const id of all) await fleet.submit("node-1", id);
      await fleet.until(() => fleet.workers.runs.length === CAPACITY);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ down: true });
      }
      resize(fleet, 1);
      const shrunkAtMs = fleet.clock.monotonicMs();
      await fleet.clock.advance(RUN_MS * 2);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ down: false });
      }
      vitest.expect(await waitForAll(fleet, all)).toBe(true);
      vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBe(1);
      await fleet.stop();
    },
  );
});
