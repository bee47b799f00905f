/** Boxes that the store rejects reach it through their peers. */
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";

function isCompleted(fleet: TestUtils.TestFleet, id = ID): boolean {
  return fleet.state(id) === Workflow.WorkflowState.Completed;
}

function otherNode(fleet: TestUtils.TestFleet): string {
  const coordinator = fleet.coordinator();
  return [...fleet.boxes.keys()].filter((n) => n !== coordinator)[0];
}

/** Ways in which the store rejects a box. */
const REJECTIONS = [
  { how: "refuses its calls", faults: { down: true } },
  { how: "leaves its calls unanswered", faults: { silent: true } },
];

vitest.describe("a box that the store rejects", () => {
  for (const { how, faults } of REJECTIONS) {
    vitest.it(`accepts workflows if the store ${how}`, async () => {
      const fleet = new TestUtils.TestFleet();
      await fleet.start();
      const name = otherNode(fleet);
      fleet.faultsOf(name).set(faults);
      await fleet.clock.advance(3000);
      vitest.expect(fleet.box(name).isReady).toBe(true);
      await fleet.submit(name, ID);
      await fleet.until(() => isCompleted(fleet));
      vitest.expect(await fleet.requestState(name, ID))
        .toBe(Workflow.WorkflowState.Completed);
      await fleet.stop();
    });

    vitest.it(`still coordinates if the store ${how}`, async () => {
      const fleet = new TestUtils.TestFleet();
      await fleet.start();
      const token = fleet.token();
      fleet.faultsOf(fleet.coordinator() ?? "").set(faults);
      await fleet.clock.advance(3000);
      await fleet.submit(otherNode(fleet), ID);
      vitest.expect(await fleet.until(() => isCompleted(fleet), 3000))
        .toBe(true);
      vitest.expect(fleet.token()).toBe(token);
      await fleet.stop();
    });
  }

  vitest.it("reads a new configuration in time", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    const name = otherNode(fleet);
    fleet.faultsOf(name).set({ silent: true });
    await fleet.clock.advance(3000);
    fleet.applyConfig(TestUtils.buildAccess({ ivo: 2 }, 2));
    await fleet.clock.advance(1000);
    vitest.expect(fleet.box(name).access.config?.version).toBe(2);
    await fleet.stop();
  });

  vitest.it("calls the store directly again once it answers", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    const name = otherNode(fleet);
    fleet.faultsOf(name).set({ down: true });
    await fleet.clock.advance(2000);
    vitest.expect(fleet.box(name).dump()["storeThrough"]).not.toBeNull();
    fleet.faultsOf(name).set({ down: false });
    await fleet.clock.advance(1000);
    vitest.expect(fleet.box(name).dump()["storeThrough"]).toBeNull();
    await fleet.stop();
  });

  vitest.it("switches to another peer if its current one dies", async () => {
    const fleet = new TestUtils.TestFleet({ boxes: 4 });
    await fleet.start();
    const name = otherNode(fleet);
    fleet.faultsOf(name).set({ down: true });
    await fleet.clock.advance(2000);
    await fleet.kill(String(fleet.box(name).dump()["storeThrough"]));
    await fleet.clock.advance(3000);
    vitest.expect(fleet.box(name).isReady).toBe(true);
    await fleet.submit(name, ID);
    await fleet.stop();
  });
});

vitest.describe("a store that is unavailable or slow for all boxes", () => {
  vitest.it("is not called through peers while it is unavailable", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ down: true });
    }
    await fleet.clock.advance(3000);
    for (const name of fleet.boxes.keys()) {
      vitest.expect(fleet.box(name).dump()["storeThrough"]).toBeNull();
    }
    await fleet.stop();
  });

  vitest.it("is not called through peers while it is slow", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    for (const name of fleet.boxes.keys()) {
      fleet.faultsOf(name).set({ delayMs: 320 });
    }
    for (let i = 0; i < 30; i++) {
      await fleet.clock.advance(100);
      for (const name of fleet.boxes.keys()) {
        vitest.expect(fleet.box(name).dump()["storeThrough"]).toBeNull();
      }
    }
    await fleet.stop();
  });
});
