/**
 * Guards against counting a workflow as begun by a start that was only recorded: the
 * start may be refused, never sent or lost, and the workflow then still waits.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const { AnswerLost, Delivered, Lost, NoRoom } = StandIns.OrderOutcome;

const IDS = ["a000000000000001", "a000000000000002", "a000000000000003"];
const [ID] = IDS;
const RUN_MS = 60_000;
const STEPS = [TestUtils.buildStep({ estimateMs: RUN_MS })];
/** Time after which callers expect a workflow to be counted, in ms. */
const VISIBLE_MS = 5000;
/** Age that a count may have, in ms. */
const MAX_COUNT_AGE_MS = 2000;
/** Longer than a takeover, in ms. */
const TAKEOVER_MS = 4000;
/** Longer than the time for which a record may be deferred, in ms. */
const OUTAGE_MS = 3000;

/** Fleet whose orders to start have this outcome until it is changed. */
async function startFleet(
  outcome: StandIns.OrderOutcome,
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1] });
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  setStarts(fleet, outcome);
  await fleet.start();
  return fleet;
}

function setStarts(
  fleet: TestUtils.TestFleet,
  outcome: StandIns.OrderOutcome,
): void {
  fleet.workers.decideOutcome = (_, order) =>
    order === "start" ? outcome : Delivered;
}

async function submitAll(fleet: TestUtils.TestFleet): Promise<void> {
  for (const id of IDS) await fleet.submit("node-1", id, { steps: STEPS });
}

async function beginFirst(fleet: TestUtils.TestFleet): Promise<void> {
  await fleet.submit("node-1", ID, { steps: STEPS });
  await fleet.until(() => fleet.workers.runs.length === 1);
}

async function expectCount(
  fleet: TestUtils.TestFleet,
  count: number,
): Promise<void> {
  for (const box of fleet.boxes.keys()) {
    vitest.expect(await fleet.countWaiting(box)).toBe(count);
  }
  await fleet.stop();
}

vitest.describe("the number of waiting workflows", () => {
  vitest.it.each([["refused", NoRoom], ["lost", Lost]] as const)(
    "includes those whose starts were %s",
    async (_, outcome) => {
      const fleet = await startFleet(outcome);
      await submitAll(fleet);
      await fleet.clock.advance(VISIBLE_MS);
      vitest.expect(fleet.workers.runs).toEqual([]);
      await expectCount(fleet, IDS.length);
    },
  );

  vitest.it("includes them after a takeover", async () => {
    const fleet = await startFleet(NoRoom);
    await submitAll(fleet);
    await fleet.clock.advance(VISIBLE_MS);
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.clock.advance(TAKEOVER_MS);
    await expectCount(fleet, IDS.length);
  });

  vitest.it("loses them as soon as a start succeeds", async () => {
    const fleet = await startFleet(NoRoom);
    await submitAll(fleet);
    await fleet.clock.advance(VISIBLE_MS);
    setStarts(fleet, Delivered);
    const haveBegun = () => fleet.workers.runs.length === IDS.length;
    vitest.expect(await fleet.until(haveBegun)).toBe(true);
    await fleet.clock.advance(MAX_COUNT_AGE_MS);
    await expectCount(fleet, 0);
  });

  vitest.it(
    "leaves out one whose accepted start was not answered",
    async () => {
      const fleet = await startFleet(AnswerLost);
      await beginFirst(fleet);
      await fleet.clock.advance(MAX_COUNT_AGE_MS);
      await expectCount(fleet, 0);
    },
  );

  vitest.it("leaves out one whose run is lost later", async () => {
    const fleet = await startFleet(Delivered);
    await beginFirst(fleet);
    await fleet.clock.advance(MAX_COUNT_AGE_MS);
    setStarts(fleet, NoRoom);
    fleet.workers.crash(fleet.workers.runs[0].worker);
    await fleet.clock.advance(VISIBLE_MS);
    await expectCount(fleet, 0);
  });

  vitest.it("leaves out one that began right before a takeover", async () => {
    const fleet = await startFleet(Delivered);
    await beginFirst(fleet);
    await fleet.kill(fleet.coordinator() ?? "");
    await fleet.clock.advance(TAKEOVER_MS);
    await expectCount(fleet, 0);
  });

  vitest.it("leaves out one that began right before an outage", async () => {
    const fleet = await startFleet(Delivered);
    await beginFirst(fleet);
    for (const box of fleet.boxes.keys()) {
      fleet.faultsOf(box).set({ down: true });
    }
    await fleet.clock.advance(OUTAGE_MS);
    for (const box of fleet.boxes.keys()) {
      fleet.faultsOf(box).set({ down: false });
    }
    await fleet.clock.advance(MAX_COUNT_AGE_MS);
    await expectCount(fleet, 0);
  });

  vitest.it("leaves out one that is cancelled before it begins", async () => {
    const fleet = await startFleet(NoRoom);
    await submitAll(fleet);
    await fleet.clock.advance(VISIBLE_MS);
    await TestUtils.cancelAt(fleet, { at: "node-1", id: ID });
    await fleet.clock.advance(MAX_COUNT_AGE_MS);
    await expectCount(fleet, IDS.length - 1);
  });
});

vitest.describe("the state of a workflow whose starts were refused", () => {
  vitest.it("is queued until one succeeds", async () => {
    const fleet = await startFleet(NoRoom);
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.clock.advance(VISIBLE_MS);
    const { Queued, Running } = Workflow.WorkflowState;
    vitest.expect(await fleet.requestState("node-2", ID)).toBe(Queued);
    setStarts(fleet, Delivered);
    await fleet.until(() => fleet.workers.runs.length === 1);
    vitest.expect(await fleet.requestState("node-2", ID)).toBe(Running);
    await fleet.stop();
  });
});
