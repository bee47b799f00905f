/** The state dump of a box lists what waits and why. */
import type * as Coordinator from "@cairngate/coordinator";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

vitest.describe("the state dump of a box", () => {
  vitest.it("gives the reason why a workflow waits", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1] });
    fleet.workers.behave = () => ({ runMs: 10_000, fails: false });
    await fleet.start();
    await fleet.submit("node-1", "a000000000000001");
    await fleet.until(() => fleet.workers.runs.length === 1);
    await fleet.submit("node-1", "a000000000000002");
    await fleet.clock.advance(500);
    const name = fleet.coordinator() ?? "";
    const dump = fleet.box(name).dump();
    const work = dump["work"] as Coordinator.CoordinatorDump;
    const states = work.workflows.map(({ id, waitsFor }) => [id, waitsFor]);
    vitest.expect(states).toEqual([
      ["a000000000000001", null],
      ["a000000000000002", "room"],
    ]);
    vitest.expect(work.lateMs).toBeGreaterThanOrEqual(0);
    vitest.expect(work.workers[0].runs).toEqual(["a000000000000001.0.0.0@1"]);
    const other = [...fleet.boxes.keys()].find((box) => box !== name) ?? "";
    vitest.expect(fleet.box(other).dump()["work"]).toBeNull();
    await fleet.stop();
  });

  vitest.it("counts the outcomes of stops for urgent work", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1] });
    fleet.workers.behave = () => ({ runMs: 2000, fails: false });
    await fleet.start();
    await fleet.submit("node-1", "a000000000000001", { priority: 2 });
    await fleet.until(() => fleet.workers.runs.length === 1);
    await fleet.submit("node-1", "a000000000000002", { priority: 0 });
    const readStops = () => {
      const dump = fleet.box(fleet.coordinator() ?? "").dump();
      return (dump["work"] as Coordinator.CoordinatorDump).stops;
    };
    await fleet.until(() => readStops().open === 1);
    await fleet.until(() => readStops().open === 0);
    const { in_time, late } = readStops();
    vitest.expect(in_time + late).toBe(1);
    await fleet.stop();
  });
});
