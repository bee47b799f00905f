/** A start never brings an endpoint over its room, also while that shrinks. */
import type * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ENDPOINT = "worker-0";
/** Accelerators of the endpoint: enough that one, two and none are fewer. */
const CAPACITY = 4;
/** Time of a run, in ms: long beside the records of a slow store. */
const RUN_MS = 2000;
/** A store this slow holds a start back between its plan and its order, in ms. */
const STORE_DELAY_MS = 400;

/** An endpoint that starts whatever it is told. */
async function startFleet(): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [CAPACITY] });
  fleet.workers.guardsRoom = false;
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

/** Most runs at once of those that began after a time. */
function maxConcurrency(
  fleet: TestUtils.TestFleet,
  sinceMs: number,
): number {
  fleet.workers.settle();
  const isAt = (atMs: number) => (note: StandIns.TaskRunNote) =>
    note.startedAtMs <= atMs && (note.endedAtMs ?? Infinity) > atMs;
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

vitest.describe("an endpoint whose room shrinks", () => {
  vitest.it("gets no start that was planned before", async () => {
    const fleet = await startFleet();
    for (const name of fleet.nodes.keys()) {
      fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
    }
    const all = ids(CAPACITY);
    const submissions = Promise.all(
      all.map((id) => fleet.submit("node-1", id)),
    );
    // The listing changes as soon as a start is on its way to the record.
    await fleet.until(() => fleet.table.rowsUnder("progress:").length > 0);
    resize(fleet, 1);
    const shrunkAtMs = fleet.clock.monotonicMs();
    await submissions;
    vitest.expect(await waitForAll(fleet, all)).toBe(true);
    vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "starts nothing while more runs than fits, and goes on",
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
      // What ran when the room shrank was left to end.
      vitest.expect(fleet.workers.runs.length).toBe(all.length);
      await fleet.stop();
    },
  );

  vitest.it("counts what is being stopped", async () => {
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
    "starts nothing without room, and again when it grows",
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

  vitest.it("keeps to its room through a change of coordinators", async () => {
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
    "holds a gang back whole that fitted when it was planned",
    async () => {
      const fleet = await startFleet();
      for (const name of fleet.nodes.keys()) {
        fleet.faultsOf(name).set({ delayMs: STORE_DELAY_MS });
      }
      const steps = [TestUtils.buildStep({ count: CAPACITY, gang: true })];
      const [id] = ids(1);
      const submissions = fleet.submit("node-1", id, { steps });
      await fleet.until(() => fleet.table.rowsUnder("progress:").length > 0);
      resize(fleet, CAPACITY - 1);
      await submissions;
      await fleet.clock.advance(5000);
      fleet.workers.settle();
      const running = fleet.workers.runs.filter(({ how }) => how === null);
      vitest.expect(running).toEqual([]);
      resize(fleet, CAPACITY);
      vitest.expect(await waitForAll(fleet, [id])).toBe(true);
      await fleet.stop();
    },
  );

  vitest.it("counts each of its resources", async () => {
    const fleet = await startFleet();
    const place = fleet.placeOf(ENDPOINT);
    const spec = { id: ENDPOINT, accelerators: CAPACITY };
    // Memory for one task only, of 1,000 MB each.
    fleet.list(spec, place, { memoryMb: 1500 });
    const shrunkAtMs = fleet.clock.monotonicMs();
    await fleet.clock.advance(200);
    const all = ids(3);
    for (const id of all) await fleet.submit("node-1", id);
    vitest.expect(await waitForAll(fleet, all)).toBe(true);
    vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBe(1);
    await fleet.stop();
  });

  vitest.it("is followed after an outage of the store", async () => {
    const fleet = await startFleet();
    const all = ids(CAPACITY + 1);
    for (const id of all) await fleet.submit("node-1", id);
    await fleet.until(() => fleet.workers.runs.length === CAPACITY);
    for (const name of fleet.nodes.keys()) {
      fleet.faultsOf(name).set({ down: true });
    }
    resize(fleet, 1);
    const shrunkAtMs = fleet.clock.monotonicMs();
    await fleet.clock.advance(RUN_MS * 2);
    for (const name of fleet.nodes.keys()) {
      fleet.faultsOf(name).set({ down: false });
    }
    vitest.expect(await waitForAll(fleet, all)).toBe(true);
    vitest.expect(maxConcurrency(fleet, shrunkAtMs)).toBe(1);
    await fleet.stop();
  });
});
