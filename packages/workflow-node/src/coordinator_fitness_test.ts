/** Boxes with more processor capacity are preferred as coordinator. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
/** Boxes with more processor capacity than the others. */
const LARGE_BOXES = ["node-3", "node-5"];
const BOXES = 7;
/** Steps that run for as long as their estimate. */
const STEPS = [TestUtils.buildStep({ estimateMs: 5000 })];

function coresOf(name: string): number {
  return LARGE_BOXES.includes(name) || name.startsWith("large") ? 1.35 : 0.324;
}

async function startFleet(seed = 1): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({ boxes: BOXES, cores: coresOf, seed });
  fleet.workers.behave = () => ({ runMs: 5000, fails: false });
  await fleet.start();
  await fleet.clock.advance(3000);
  return fleet;
}

function isOnLargeBox(fleet: TestUtils.TestFleet): boolean {
  return coresOf(fleet.coordinator() ?? "") > 1;
}

vitest.describe("the coordinator", () => {
  vitest.it("is a larger box after the first start", async () => {
    for (const seed of [1, 2, 3, 4]) {
      const fleet = await startFleet(seed);
      vitest.expect(isOnLargeBox(fleet)).toBe(true);
      await fleet.stop();
    }
  });

  vitest.it("is another larger box after it was lost", async () => {
    for (const seed of [1, 2, 3, 4]) {
      const fleet = await startFleet(seed);
      const token = fleet.token();
      const first = fleet.coordinator() ?? "";
      await fleet.kill(first);
      const hasMoved = await fleet.until(() => fleet.token() > token);
      vitest.expect(hasMoved).toBe(true);
      vitest.expect(isOnLargeBox(fleet)).toBe(true);
      vitest.expect(fleet.coordinator()).not.toBe(first);
      await fleet.stop();
    }
  });

  vitest.it("is a small box while there is no larger one", async () => {
    const fleet = await startFleet();
    for (const name of LARGE_BOXES) await fleet.kill(name);
    await fleet.submit("node-1", ID, { steps: STEPS });
    const isDone = () => fleet.state(ID) === Workflow.WorkflowState.Completed;
    vitest.expect(await fleet.until(isDone)).toBe(true);
    await fleet.stop();
  });

  vitest.it("hands over once to a larger box that joins", async () => {
    const fleet = await startFleet();
    for (const name of LARGE_BOXES) await fleet.kill(name);
    await fleet.clock.advance(4000);
    // A listing with an old timestamp would make leases end too early.
    for (const i of [0, 1]) {
      fleet.list({ id: `worker-${i}`, accelerators: 2 }, i);
    }
    await fleet.submit("node-1", ID, { steps: STEPS });
    await fleet.until(() => fleet.workers.runs.length === 1);
    const token = fleet.token();
    fleet.startBox("large-1");
    const hasMoved = await fleet.until(() => fleet.coordinator() === "large-1");
    vitest.expect(hasMoved).toBe(true);
    await fleet.clock.advance(10_000);
    vitest.expect(fleet.token()).toBe(token + 1);
    vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Completed);
    vitest.expect(fleet.workers.runs.length).toBe(1);
    await fleet.stop();
  });

  vitest.it(
    "stays on a large box if the store refuses it",
    async () => {
      const fleet = await startFleet();
      await fleet.submit("node-1", ID, { steps: STEPS });
      await fleet.until(() => fleet.workers.runs.length === 1);
      const token = fleet.token();
      fleet.faultsOf(fleet.coordinator() ?? "").set({ down: true });
      await fleet.clock.advance(12_000);
      vitest.expect(fleet.token()).toBeLessThanOrEqual(token + 1);
      vitest.expect(isOnLargeBox(fleet)).toBe(true);
      vitest.expect(fleet.workers.runs.length).toBe(1);
      await fleet.stop();
    },
  );

  vitest.it("moves to a box that a rolling restart has passed", async () => {
    const fleet = new TestUtils.TestFleet({ boxes: 5 });
    await fleet.start();
    const first = fleet.coordinator() ?? "";
    const others = [...fleet.boxes.keys()].filter((name) => name !== first);
    for (const name of others.slice(0, 2)) {
      await fleet.kill(name);
      await fleet.clock.advance(2000);
      fleet.startBox(name);
    }
    await fleet.clock.advance(12_000);
    await fleet.run(fleet.box(first).leave());
    await fleet.until(() => ![null, first].includes(fleet.coordinator()));
    vitest.expect(fleet.coordinator()).toBe(others[1]);
    await fleet.stop();
  });
});
