/**
 * A cancel holds although the write of the submission takes effect only after it: its
 * caller was told that it is not known whether the workflow is stored.
 */
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";

const ID = "a000000000000001";
const { cancelKey, homePartition, PARTITIONS, waitingKey, workflowKey } =
  TableClient.Keys;
const HOME_PARTITION = homePartition(ID);
const [OTHER_PARTITION] = PARTITIONS.filter((one) => one !== HOME_PARTITION);
/** Cancels that a box answers at the same time. */
const BATCH_SIZE = 50;
const STEPS = [TestUtils.buildStep({ count: 2 })];

async function startFleet(): Promise<TestUtils.TestFleet> {
  const guarantees = { hana: 4, ivo: 0 };
  const fleet = new TestUtils.TestFleet({
    boxes: 4,
    config: TestUtils.buildAccess(guarantees),
  });
  await fleet.start();
  return fleet;
}

/** Stores the workflow as a write of its submission does that takes effect now. */
function storeLate(
  fleet: TestUtils.TestFleet,
  partition: string,
  tenant = "hana",
): void {
  const policy = TestUtils.buildAccess().queues[1];
  const spec: Workflow.WorkflowSpec = {
    id: ID,
    tenant,
    policy,
    configVersion: 1,
    payload: "work",
    steps: STEPS,
    schedule: null,
    acceptedAtMs: fleet.clock.wallMs(),
  };
  const writes = [
    { key: workflowKey(partition, ID), value: spec },
    { key: waitingKey(partition, policy.queue, ID), value: 1 },
  ];
  const writeId = `late-${partition}`;
  Effect.runSync(fleet.table.transact({ writeId, conditions: [], writes }));
}

function cancel(
  fleet: TestUtils.TestFleet,
  tenant = "hana",
): Promise<number | string> {
  return TestUtils.cancelAt(fleet, { at: "node-2", id: ID, tenant });
}

function setDown(fleet: TestUtils.TestFleet, ...partitions: string[]): void {
  for (const name of fleet.boxes.keys()) {
    fleet.faultsOf(name).set({ downPartitions: partitions });
  }
}

async function replaceCoordinator(fleet: TestUtils.TestFleet): Promise<void> {
  const token = fleet.token();
  await fleet.kill(fleet.coordinator() ?? "");
  await fleet.until(() => fleet.token() > token);
  await fleet.clock.advance(1500);
}

/** Expects that nothing has started and that the workflow is shown as cancelled. */
async function expectCancelled(fleet: TestUtils.TestFleet): Promise<void> {
  await fleet.clock.advance(10_000);
  vitest.expect(fleet.workers.runs).toEqual([]);
  vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Cancelled);
  const [box] = fleet.boxes.keys();
  vitest.expect(await fleet.requestState(box, ID))
    .toBe(Workflow.WorkflowState.Cancelled);
  const [, queue] = TestUtils.buildAccess().queues;
  const waiting = PARTITIONS.flatMap((partition) =>
    fleet.table.rowsUnder(waitingKey(partition, queue.queue, ID))
  );
  vitest.expect(waiting).toEqual([]);
}

vitest.describe("a cancel before the workflow is stored", () => {
  // Guards against tasks that start after their cancel was answered, because a write of
  // the submission took effect after the partitions had been read.
  for (
    const [where, partitions] of [
      ["in its home", [HOME_PARTITION]],
      ["elsewhere", [OTHER_PARTITION]],
      ["in two partitions", [OTHER_PARTITION, HOME_PARTITION]],
    ] as const
  ) {
    vitest.it(`holds if it is stored ${where}`, async () => {
      const fleet = await startFleet();
      vitest.expect(await cancel(fleet)).toBe("UnknownJobError");
      await fleet.clock.advance(5000);
      for (const partition of partitions) storeLate(fleet, partition);
      await expectCancelled(fleet);
      await fleet.stop();
    });
  }

  vitest.it("holds under a new coordinator", async () => {
    const fleet = await startFleet();
    vitest.expect(await cancel(fleet)).toBe("UnknownJobError");
    await replaceCoordinator(fleet);
    storeLate(fleet, OTHER_PARTITION);
    await expectCancelled(fleet);
    await fleet.stop();
  });

  vitest.it("holds if its partition is unavailable at takeover", async () => {
    const fleet = await startFleet();
    vitest.expect(await cancel(fleet)).toBe("UnknownJobError");
    setDown(fleet, HOME_PARTITION);
    storeLate(fleet, OTHER_PARTITION);
    await replaceCoordinator(fleet);
    await fleet.clock.advance(4000);
    setDown(fleet);
    await expectCancelled(fleet);
    await fleet.stop();
  });

  // Guards against a workflow that is read before its cancel, when all partitions are
  // read again one by one.
  vitest.it("holds after the store forgets its history", async () => {
    const fleet = await startFleet();
    const coordinator = fleet.coordinator() ?? "";
    fleet.faultsOf(coordinator).set({ downPartitions: [HOME_PARTITION] });
    const at = [...fleet.boxes.keys()].find((name) => name !== coordinator);
    const call = { at: at ?? "", id: ID };
    fleet.faultsOf(coordinator).set({
      downPartitions: [HOME_PARTITION],
      hideChanges: true,
    });
    vitest.expect(await TestUtils.cancelAt(fleet, call))
      .toBe("UnknownJobError");
    storeLate(fleet, OTHER_PARTITION);
    fleet.table.forgetHistory();
    fleet.faultsOf(coordinator).set({
      downPartitions: [HOME_PARTITION],
      hideChanges: false,
    });
    await fleet.clock.advance(3000);
    vitest.expect(fleet.coordinator()).toBe(coordinator);
    setDown(fleet);
    await expectCancelled(fleet);
    await fleet.stop();
  });

  vitest.it("holds for a submission that is repeated", async () => {
    const fleet = await startFleet();
    vitest.expect(await cancel(fleet)).toBe("UnknownJobError");
    await fleet.clock.advance(500);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await expectCancelled(fleet);
    await fleet.stop();
  });

  vitest.it("stops a workflow that is stored just before it", async () => {
    const fleet = await startFleet();
    fleet.workers.behave = () => ({ runMs: 60_000, fails: false });
    storeLate(fleet, OTHER_PARTITION);
    await fleet.until(() => fleet.workers.runs.length === 2);
    vitest.expect(await cancel(fleet)).toBeTypeOf("number");
    await fleet.clock.advance(3000);
    vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Cancelled);
    await fleet.stop();
  });

  // Guards against callers that keep other teams from running their workflows.
  vitest.it("does not apply to a workflow of another team", async () => {
    const fleet = await startFleet();
    vitest.expect(await cancel(fleet, "ivo")).toBe("UnknownJobError");
    await fleet.submit("node-1", ID, { steps: STEPS });
    const isDone = await fleet.until(() =>
      fleet.state(ID) === Workflow.WorkflowState.Completed
    );
    vitest.expect(isDone).toBe(true);
    vitest.expect(fleet.table.rowsUnder(cancelKey(HOME_PARTITION, ID)))
      .toEqual([]);
    await fleet.stop();
  });

  vitest.it("holds beside that of another team", async () => {
    const fleet = await startFleet();
    vitest.expect(await cancel(fleet)).toBe("UnknownJobError");
    vitest.expect(await cancel(fleet, "ivo")).toBe("UnknownJobError");
    storeLate(fleet, HOME_PARTITION);
    await expectCancelled(fleet);
    await fleet.stop();
  });

  // Guards against 410 while a partition that may hold the workflow is unavailable.
  vitest.it("is not answered while a partition is unavailable", async () => {
    for (const partition of [HOME_PARTITION, OTHER_PARTITION]) {
      const fleet = await startFleet();
      setDown(fleet, partition);
      const fromMs = fleet.clock.monotonicMs();
      vitest.expect(await cancel(fleet)).toBe("StoreUnavailableError");
      vitest.expect(fleet.clock.monotonicMs() - fromMs).toBeLessThan(4500);
      await fleet.stop();
    }
  });

  // Guards against rows that stay for good where the workflow never comes.
  vitest.it("leaves no row once no write can be late any more", async () => {
    const fleet = await startFleet();
    const ids = Array.from(
      { length: 300 },
      (_, i) => `b${i.toString(16).padStart(15, "0")}`,
    );
    for (let i = 0; i < ids.length; i += BATCH_SIZE) {
      const batch = ids.slice(i, i + BATCH_SIZE);
      await Promise.all(
        batch.map((id) => TestUtils.cancelAt(fleet, { at: "node-2", id })),
      );
    }
    const countRows = () => fleet.table.rowsUnder("intake").length;
    vitest.expect(countRows()).toBe(ids.length);
    await replaceCoordinator(fleet);
    await fleet.clock.advance(TestUtils.FLEET_BOUNDS.keepEndedMs + 12_000);
    vitest.expect(countRows()).toBe(0);
    await fleet.stop();
  });

  // Guards against workflows outside their home that wait until the store keeps its
  // history for long enough to read all partitions.
  vitest.it(
    "starts at once while history is lost again and again",
    async () => {
      const fleet = await startFleet();
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ delayMs: 50 });
      }
      const forget = () => {
        fleet.write("test-other/row", fleet.clock.monotonicMs());
        fleet.table.forgetHistory();
      };
      for (let i = 0; i < 10; i++) {
        forget();
        await fleet.clock.advance(100);
      }
      storeLate(fleet, OTHER_PARTITION);
      for (let i = 0; i < 20 && fleet.workers.runs.length === 0; i++) {
        forget();
        await fleet.clock.advance(100);
      }
      vitest.expect(fleet.workers.runs.length).toBeGreaterThan(0);
      await fleet.stop();
    },
  );
});
