/** Rendering of the state of a box. */
import * as vitest from "vitest";
import * as render from "./render_node.ts";

const NODE = {
  node: "node-1",
  ready: true,
  configVersion: 7,
  coordinator: "node-1",
  storeSilentMs: 0,
  evacuations: [],
  mayMissEvacuations: false,
};

vitest.describe("describeNode", () => {
  vitest.it("shows why a workflow waits and unusable endpoints", () => {
    const lines = render.describeNode({
      ...NODE,
      work: {
        token: 3,
        workflows: [{
          id: "a000000000000001",
          queue: "maps",
          priority: 1,
          state: "queued",
          tasks: { waiting: 4 },
          waitsFor: "room",
          waitsForMs: 3210,
        }],
        workers: [{ id: "i-1", rack: "r1", usable: false, runs: ["x@1"] }],
        evacuations: [],
        guarantees: { paidFor: 0, open: 0, short: 0 },
      },
    });
    vitest.expect(lines).toEqual([
      "node-1: ready, configuration 7, coordinator node-1, " +
      "store silent for 0 ms",
      "  a000000000000001 maps priority 1 queued: 4 waiting; " +
      "waits for room since 3.2 s",
      "  worker i-1 in r1 not usable: 1 runs",
    ]);
  });

  vitest.it("shows a box that is not the coordinator in one line", () => {
    const lines = render.describeNode({ ...NODE, ready: false, work: null });
    vitest.expect(lines.length).toBe(1);
    vitest.expect(lines[0]).toContain("not ready");
  });

  vitest.it("shows how many rows of the store can't be used, if any", () => {
    const show = (unusableRows: number) =>
      render.describeNode({ ...NODE, unusableRows, work: null }).slice(1);
    vitest.expect(show(0)).toEqual([]);
    vitest.expect(show(3))
      .toEqual(["  rows of the store that can't be used: 3; see its log"]);
  });

  vitest.it("shows evacuations, their runs and missing guarantees", () => {
    const lines = render.describeNode({
      ...NODE,
      evacuations: [{ dataCentre: "brno-b", sinceMs: 0 }],
      work: {
        token: 3,
        workflows: [],
        workers: [],
        evacuations: [{ dataCentre: "brno-b", runs: 12 }],
        guarantees: { paidFor: 100, open: 90, short: 10 },
      },
    });
    vitest.expect(lines.slice(1)).toEqual([
      "  data centre brno-b evacuated since 1970-01-01T00:00:00.000Z; " +
      "12 runs continue there",
      "  guarantees: 100 accelerators paid for, 90 left, 10 can not be had",
    ]);
  });

  vitest.it("shows that a box starts nothing without operator rows", () => {
    const lines = render.describeNode({
      ...NODE,
      mayMissEvacuations: true,
      work: null,
    });
    vitest.expect(lines[1]).toContain("starts nothing");
  });
});
