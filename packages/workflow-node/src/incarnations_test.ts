/** Effects of an incarnation of an endpoint on the next one under the same id. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const OTHER_ID = "a000000000000002";
const CRASHING_ID = "c000000000000001";
const TASK = `${ID}.0.0.0`;
/** Duration of a run, in ms: less than a lease, more than a poll. */
const RUN_MS = 1000;
const TIMEOUT_MS = 90_000;
/** Starts of a task that users permit: two after its third crash. */
const MAX_STARTS = 5;

async function startFleet(
  workers: readonly number[],
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ workers });
  fleet.keepsIds = true;
  fleet.restartDelayMs = 500;
  fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
  await fleet.start();
  return fleet;
}

function isCompleted(fleet: TestUtils.TestFleet, id: string): () => boolean {
  return () => fleet.state(id) === Workflow.WorkflowState.Completed;
}

vitest.describe("a new incarnation under the same id", () => {
  vitest.it("carries out no start for the previous one", async () => {
    const fleet = await startFleet([1]);
    // The first start gets no answer and is carried out 2.5 s later; the second works.
    let starts = 0;
    fleet.workers.decideOutcome = (_, order) =>
      order === "start" && starts++ === 0
        ? StandIns.OrderOutcome.Late
        : StandIns.OrderOutcome.Delivered;
    await fleet.submit("node-1", ID);
    await fleet.until(isCompleted(fleet, ID));
    fleet.workers.crash("worker-0");
    await fleet.clock.advance(5000);
    const runs = fleet.workers.runsOf(TASK);
    vitest.expect(runs.map(({ how }) => how)).toEqual(["done"]);
    await fleet.stop();
  });

  vitest.it(
    "is used even if the previous entry is written after its own",
    async () => {
      const fleet = await startFleet([2]);
      await fleet.submit("node-1", ID);
      await fleet.until(isCompleted(fleet, ID));
      const entry = fleet.entryOf("worker-0");
      fleet.workers.crash("worker-0");
      await fleet.clock.advance(1000);
      if (entry !== null) fleet.writeEntry({ ...entry, draining: true });
      await fleet.clock.advance(200);
      await fleet.submit("node-1", OTHER_ID);
      vitest.expect(await fleet.until(isCompleted(fleet, OTHER_ID), 4000)).toBe(
        true,
      );
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it("is used at another address", async () => {
    const fleet = await startFleet([1]);
    fleet.restartDelayMs = TIMEOUT_MS;
    fleet.workers.behave = () => ({ runMs: 5000, fails: false });
    await fleet.submit("node-1", ID);
    await fleet.until(() => fleet.workers.runsOf(TASK).length === 1);
    await fleet.clock.advance(300);
    fleet.workers.crash("worker-0");
    await fleet.clock.advance(400);
    const spec = { id: "worker-0", accelerators: 1 };
    fleet.workers.restart(spec);
    fleet.workers.removeListener(fleet.entryOf("worker-0")?.address ?? "");
    fleet.list(spec, 7);
    vitest.expect(await fleet.until(isCompleted(fleet, ID), 12_000)).toBe(true);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it(
    "reveals a crash to a coordinator that never polled the run",
    async () => {
      const fleet = await startFleet([1, 1]);
      fleet.restartDelayMs = 3000;
      fleet.workers.behave = () => ({
        runMs: TIMEOUT_MS,
        fails: false,
        crashesAfterMs: 400,
      });
      await fleet.submit("node-1", CRASHING_ID, {
        steps: [TestUtils.buildStep({ estimateMs: TIMEOUT_MS })],
      });
      const { runs } = fleet.workers;
      const isOver = () =>
        fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed;
      // Each crash coincides with a takeover.
      for (let crash = 1; crash <= 3; crash++) {
        await fleet.until(() =>
          runs.length === crash && runs[crash - 1].how !== null
        );
        const coordinator = fleet.coordinator() ?? "";
        await fleet.kill(coordinator);
        fleet.startBox(`${coordinator}+`);
      }
      vitest.expect(await fleet.until(isOver, TIMEOUT_MS)).toBe(true);
      vitest.expect(runs.length).toBeLessThanOrEqual(MAX_STARTS);
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      await fleet.stop();
    },
  );

  vitest.it(
    "counts no crash if the previous one had announced its end",
    async () => {
      const fleet = await startFleet([1]);
      fleet.workers.behave = () => ({ runMs: 20_000, fails: false });
      await fleet.submit("node-1", ID, {
        steps: [TestUtils.buildStep({ estimateMs: 20_000 })],
      });
      await fleet.until(() => fleet.workers.runsOf(TASK).length === 1);
      const spec = { id: "worker-0", accelerators: 1 };
      fleet.list(spec, 0, { draining: true });
      await fleet.clock.advance(1000);
      fleet.workers.crash("worker-0");
      await fleet.until(() => fleet.workers.runsOf(TASK).length === 2);
      const [row] = fleet.table.rowsUnder("progress:")
        .filter(({ key }) => key.endsWith(`/${ID}`));
      const { histories } = row.value as Workflow.ProgressRecord;
      vitest.expect(histories).toBeUndefined();
      await fleet.stop();
    },
  );
});

vitest.describe("endpoints that report no birth time", () => {
  vitest.it("have one incarnation for each id", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [] });
    fleet.workers.createBirthMs = () => null;
    for (const [i, id] of ["i-0", "i-1"].entries()) {
      const spec = { id, accelerators: 2 };
      fleet.workers.restart(spec);
      fleet.list(spec, i);
    }
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: false });
    await fleet.start();
    const ids = Array.from(
      { length: 8 },
      (_, i) => `a${String(i).padStart(15, "0")}`,
    );
    for (const [i, id] of ids.entries()) {
      await fleet.submit("node-1", id);
      await fleet.clock.advance(500);
      if (i === 3) fleet.workers.crash("i-0");
    }
    const isOver = () => ids.every((id) => isCompleted(fleet, id)());
    vitest.expect(await fleet.until(isOver, TIMEOUT_MS)).toBe(true);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });
});
