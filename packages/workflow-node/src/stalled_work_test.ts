/** Work that waits beside free capacity is logged with its reason. */
import type * as Coordinator from "@cairngate/coordinator";
import * as TestUtils from "@cairngate/test-utils";
import * as vitest from "vitest";

vitest.describe("work that waits beside free capacity", () => {
  vitest.it("is logged once in 10 s", async () => {
    const log = new TestUtils.RecordingLog();
    const fleet = new TestUtils.TestFleet({
      workers: [2],
      logOf: () => log,
    });
    await fleet.start();
    // The evacuation blocks all starts in the only data centre.
    fleet.evacuate("dc-1");
    await fleet.clock.advance(1000);
    await fleet.submit("node-1", "a000000000000001");
    await fleet.clock.advance(9000);
    const lines = log.messages.filter((line) => line.includes("stands still"));
    vitest.expect(lines.length).toBe(1);
    vitest.expect(lines[0]).toContain("Step a000000000000001.0.0 stands still");
    vitest.expect(lines[0]).toContain("waits for endpoints");
    vitest.expect(lines[0]).toContain("of 1 endpoints of its service 0 may be");
    const dump = fleet.box(fleet.coordinator() ?? "").dump();
    const { workflows } = dump["work"] as Coordinator.CoordinatorDump;
    vitest.expect(workflows[0].waitsFor).toBe("endpoints");
    vitest.expect(workflows[0].waitsForMs).toBeGreaterThan(8000);
    await fleet.stop();
  });
});
