/**
 * Guards against starts of a cancelled workflow, whichever partitions hold its rows
 * and whichever box coordinates.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TableClient from "@cairngate/table-client";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const HOME_PARTITION = TableClient.Keys.homePartition(ID);
const [COPY_PARTITION, OTHER_PARTITION] = TableClient.Keys.PARTITIONS
  .filter((partition) => partition !== HOME_PARTITION);
/** Latest permitted start after an acknowledged cancel, in ms. */
const MAX_START_DELAY_MS = 4000;
/** Duration of runs that outlast every test, in ms. */
const LONG_RUN_MS = 200_000;
/** Duration of runs that end within a test, in ms. */
const RUN_MS = 6000;
const STEPS = [
  TestUtils.buildStep({ estimateMs: RUN_MS }),
  TestUtils.buildStep({ estimateMs: RUN_MS, after: [0] }),
];

function setDown(fleet: TestUtils.TestFleet, ...partitions: string[]): void {
  for (const name of fleet.boxes.keys()) {
    fleet.faultsOf(name).set({ downPartitions: partitions });
  }
}

function setEndpointsListed(
  fleet: TestUtils.TestFleet,
  isListed: boolean,
): void {
  for (const [i, id] of ["worker-0", "worker-1"].entries()) {
    if (isListed) fleet.list({ id, accelerators: 2 }, i);
    else fleet.unlist(id);
  }
}

async function startFleet(
  runMs: number,
  options: { boxes?: number } = {},
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ boxes: 4, ...options });
  fleet.workers.behave = () => ({ runMs, fails: false });
  await fleet.start();
  return fleet;
}

function otherBoxes(fleet: TestUtils.TestFleet): string[] {
  const coordinator = fleet.coordinator();
  return [...fleet.boxes.keys()].filter((name) => name !== coordinator);
}

/** Writes a second row of the workflow, as a box without access to its home does. */
function writeCopy(
  fleet: TestUtils.TestFleet,
  partition = COPY_PARTITION,
): void {
  const [{ value }] = fleet.table.rowsUnder(
    TableClient.Keys.workflowKey(HOME_PARTITION, ID),
  );
  fleet.write(TableClient.Keys.workflowKey(partition, ID), value);
}

function writeCancel(fleet: TestUtils.TestFleet, partition: string): void {
  fleet.write(
    TableClient.Keys.cancelKey(partition, ID),
    fleet.clock.wallMs(),
  );
}

/** Kills the coordinator and waits until the next term has begun. */
async function replaceCoordinator(fleet: TestUtils.TestFleet): Promise<void> {
  const token = fleet.token();
  await fleet.kill(fleet.coordinator() ?? "");
  await fleet.until(() => fleet.token() > token);
  await fleet.clock.advance(1500);
}

function findStartsAfter(fleet: TestUtils.TestFleet, atMs: number): string[] {
  return fleet.workers.runs
    .filter(({ startedAtMs }) => startedAtMs > atMs)
    .map(({ task, run }) => `${task} run ${run}`);
}

/** Expects that nothing starts after a cancel at this time and that it is recorded. */
async function expectCancelled(
  fleet: TestUtils.TestFleet,
  cancelledAtMs: number,
): Promise<void> {
  await fleet.clock.advance(15_000);
  const lastStartAtMs = cancelledAtMs + MAX_START_DELAY_MS;
  vitest.expect(findStartsAfter(fleet, lastStartAtMs)).toEqual([]);
  vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Cancelled);
  const runs = fleet.workers.runs.filter(({ how }) => how === null);
  vitest.expect(runs).toEqual([]);
}

vitest.describe("a cancel of a workflow with a copy", () => {
  vitest.it("outlasts the copy of a workflow that never ran", async () => {
    const fleet = await startFleet(1000, { boxes: 5 });
    setEndpointsListed(fleet, false);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.clock.advance(500);
    await fleet.kill(fleet.coordinator() ?? "");
    writeCopy(fleet);
    writeCancel(fleet, HOME_PARTITION);
    const atMs = fleet.clock.monotonicMs();
    // The next term reads the copy first and never reads all partitions.
    setDown(fleet, HOME_PARTITION, OTHER_PARTITION);
    await fleet.clock.advance(4000);
    setDown(fleet, OTHER_PARTITION);
    await fleet.clock.advance(2000);
    await replaceCoordinator(fleet);
    setDown(fleet);
    setEndpointsListed(fleet, true);
    await expectCancelled(fleet, atMs);
    await fleet.stop();
  });

  vitest.it("outlasts the copy while the home is unavailable", async () => {
    const fleet = await startFleet(LONG_RUN_MS);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    setDown(fleet, HOME_PARTITION);
    writeCancel(fleet, COPY_PARTITION);
    writeCopy(fleet);
    const atMs = fleet.clock.monotonicMs();
    await fleet.clock.advance(500);
    await fleet.kill(fleet.coordinator() ?? "");
    setDown(fleet);
    await expectCancelled(fleet, atMs);
    await fleet.stop();
  });

  vitest.it("outlasts the copy when the term ends at once", async () => {
    const fleet = await startFleet(LONG_RUN_MS);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    // The coordinator can still read; its writes to the home partition hang.
    fleet.faultsOf(fleet.coordinator() ?? "").set({
      downPartitions: [HOME_PARTITION],
    });
    writeCancel(fleet, COPY_PARTITION);
    writeCopy(fleet);
    const atMs = fleet.clock.monotonicMs();
    await fleet.clock.advance(300);
    await replaceCoordinator(fleet);
    await expectCancelled(fleet, atMs);
    await fleet.stop();
  });
});

vitest.describe("an acknowledged cancel", () => {
  vitest.it("holds if its partition is unavailable at takeover", async () => {
    const fleet = await startFleet(RUN_MS);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    const [box] = otherBoxes(fleet);
    await fleet.kill(fleet.coordinator() ?? "");
    writeCopy(fleet);
    // This box cannot reach the home, and the next coordinator not the copy.
    setDown(fleet, HOME_PARTITION);
    const cancelled = await TestUtils.cancelAt(fleet, { at: box, id: ID });
    setDown(fleet, COPY_PARTITION);
    await fleet.clock.advance(15_000);
    if (typeof cancelled === "number") {
      vitest.expect(findStartsAfter(fleet, cancelled + MAX_START_DELAY_MS))
        .toEqual([]);
    }
    setDown(fleet);
    await fleet.clock.advance(1000);
    const secondAnswer = await TestUtils.cancelAt(fleet, { at: box, id: ID });
    vitest.expect(secondAnswer).toBeTypeOf("number");
    await expectCancelled(fleet, Number(secondAnswer));
    await fleet.stop();
  });

  vitest.it("holds while the coordinator's feed falls behind", async () => {
    const fleet = await startFleet(RUN_MS);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    fleet.faultsOf(fleet.coordinator() ?? "").set({ hideChanges: true });
    const [at] = otherBoxes(fleet);
    const atMs = await TestUtils.cancelAt(fleet, { at, id: ID });
    vitest.expect(atMs).toBeTypeOf("number");
    await expectCancelled(fleet, Number(atMs));
    await fleet.stop();
  });

  vitest.it("holds if the coordinator's feed never showed it", async () => {
    const fleet = await startFleet(RUN_MS);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    fleet.faultsOf(fleet.coordinator() ?? "").set({ hideChanges: true });
    const [at] = otherBoxes(fleet);
    const atMs = await TestUtils.cancelAt(fleet, { at, id: ID });
    await fleet.clock.advance(1000);
    await replaceCoordinator(fleet);
    await expectCancelled(fleet, Number(atMs));
    await fleet.stop();
  });

  vitest.it(
    "holds for a copy that is written later, and in later terms",
    async () => {
      const fleet = await startFleet(LONG_RUN_MS, { boxes: 5 });
      await fleet.submit("node-1", ID, { steps: STEPS });
      await fleet.until(() => fleet.workers.runs.length === 1);
      const [at] = otherBoxes(fleet);
      const atMs = await TestUtils.cancelAt(fleet, { at, id: ID });
      await fleet.clock.advance(3000);
      writeCopy(fleet);
      await fleet.clock.advance(1000);
      setDown(fleet, HOME_PARTITION);
      writeCopy(fleet);
      await replaceCoordinator(fleet);
      await fleet.clock.advance(3000);
      setDown(fleet);
      await replaceCoordinator(fleet);
      await expectCancelled(fleet, Number(atMs));
      await fleet.stop();
    },
  );
});

/** Time for which callers wait for the answer to a cancel, in ms. */
const ANSWER_TIMEOUT_MS = 6000;

vitest.describe("the answer to a cancel", () => {
  /** Requests a cancel; returns the answer and the time taken, in ms. */
  const requestCancel = async (fleet: TestUtils.TestFleet) => {
    const fromMs = fleet.clock.monotonicMs();
    const [at] = otherBoxes(fleet);
    const answer = await TestUtils.cancelAt(fleet, { at, id: ID });
    return { answer, tookMs: fleet.clock.monotonicMs() - fromMs };
  };

  for (const delayMs of [150, 600, 900]) {
    vitest.it(`is in time with a store delay of ${delayMs} ms`, async () => {
      const fleet = await startFleet(LONG_RUN_MS);
      await fleet.submit("node-1", ID, { steps: STEPS });
      await fleet.until(() => fleet.workers.runs.length === 1);
      for (const name of fleet.boxes.keys()) {
        fleet.faultsOf(name).set({ delayMs });
      }
      await fleet.clock.advance(3000);
      const { answer, tookMs } = await requestCancel(fleet);
      vitest.expect(answer).toBeTypeOf("number");
      vitest.expect(tookMs).toBeLessThan(ANSWER_TIMEOUT_MS);
      await expectCancelled(fleet, Number(answer));
      await fleet.stop();
    });
  }

  vitest.it("needs no unrelated partition", async () => {
    const fleet = await startFleet(LONG_RUN_MS);
    setEndpointsListed(fleet, false);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.clock.advance(500);
    setDown(fleet, OTHER_PARTITION);
    const { answer, tookMs } = await requestCancel(fleet);
    vitest.expect(answer).toBeTypeOf("number");
    vitest.expect(tookMs).toBeLessThan(1000);
    setEndpointsListed(fleet, true);
    await expectCancelled(fleet, Number(answer));
    await fleet.stop();
  });

  vitest.it("is uncertain if a copy may be unreachable", async () => {
    const fleet = await startFleet(LONG_RUN_MS);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    writeCopy(fleet);
    setDown(fleet, HOME_PARTITION);
    writeCopy(fleet);
    const { answer, tookMs } = await requestCancel(fleet);
    vitest.expect(answer).toBeTypeOf("string");
    vitest.expect(tookMs).toBeLessThan(ANSWER_TIMEOUT_MS);
    setDown(fleet);
    await fleet.clock.advance(1000);
    const secondAnswer = await requestCancel(fleet);
    vitest.expect(secondAnswer.answer).toBeTypeOf("number");
    await expectCancelled(fleet, Number(secondAnswer.answer));
    await fleet.stop();
  });
});

vitest.describe("a workflow that has ended and been removed", () => {
  vitest.it("cannot be cancelled, and leaves no row", async () => {
    const fleet = await startFleet(1000);
    await fleet.submit("node-1", ID);
    await fleet.clock.advance(TestUtils.FLEET_BOUNDS.keepEndedMs + 12_000);
    const answer = await TestUtils.cancelAt(fleet, { at: "node-2", id: ID });
    vitest.expect(answer).toBe("UnknownJobError");
    // The early cancel stays as long as a late write may take effect.
    await fleet.clock.advance(TestUtils.FLEET_BOUNDS.keepEndedMs + 12_000);
    const remainingRows = ["intake", "progress", "waiting"]
      .flatMap((table) => fleet.table.rowsUnder(table));
    vitest.expect(remainingRows).toEqual([]);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });

  vitest.it("does not run again from an unread copy", async () => {
    const fleet = await startFleet(RUN_MS);
    await fleet.submit("node-1", ID, { steps: STEPS.slice(0, 1) });
    await fleet.until(() => fleet.workers.runs.length === 1);
    setDown(fleet, COPY_PARTITION);
    writeCopy(fleet);
    await replaceCoordinator(fleet);
    await fleet.clock.advance(TestUtils.FLEET_BOUNDS.keepEndedMs + 15_000);
    setDown(fleet);
    await fleet.clock.advance(5000);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });
});

/** Stages of a workflow at which it may be cancelled, with their setup. */
const CANCEL_STAGES: Readonly<
  Record<string, (fleet: TestUtils.TestFleet) => Promise<unknown>>
> = {
  "before the coordinator has read it": (fleet) => {
    fleet.faultsOf(fleet.coordinator() ?? "").set({ hideChanges: true });
    return fleet.submit("node-1", ID, { steps: STEPS });
  },
  "before its first start": async (fleet) => {
    setEndpointsListed(fleet, false);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.clock.advance(500);
  },
  "while it starts": async (fleet) => {
    fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Late;
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.clock.advance(100);
  },
  "while it runs": async (fleet) => {
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
  },
  "between its steps": async (fleet) => {
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    setEndpointsListed(fleet, false);
    await fleet.clock.advance(7000);
  },
  "while it stops": async (fleet) => {
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    fleet.workers.decideOutcome = (_, order) =>
      order === "stop"
        ? StandIns.OrderOutcome.Lost
        : StandIns.OrderOutcome.Delivered;
    writeCancel(fleet, HOME_PARTITION);
    await fleet.clock.advance(200);
  },
};

vitest.describe("a cancel just before the coordinator ends", () => {
  for (const [stage, setUp] of Object.entries(CANCEL_STAGES)) {
    vitest.it(`holds ${stage}`, async () => {
      const fleet = await startFleet(RUN_MS);
      await setUp(fleet);
      const at = otherBoxes(fleet).filter((name) => name !== "node-1")[0];
      const atMs = await TestUtils.cancelAt(fleet, { at, id: ID });
      vitest.expect(atMs).toBeTypeOf("number");
      await replaceCoordinator(fleet);
      fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
      setEndpointsListed(fleet, true);
      await expectCancelled(fleet, Number(atMs));
      await fleet.stop();
    });
  }
});
