/** The state of a node as lines. */
import * as vitest from "vitest";
import * as render from "./render_node.ts";

const NODE = {
  node: "node-1",
  ready: true,
  configVersion: 7,
  coordinator: "node-1",
  storeSilentMs: 0,
};

vitest.describe("describeNode", () => {
  vitest.it("tells why a workflow waits and which workers are out", () => {
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
        }],
        workers: [{ id: "i-1", rack: "r1", usable: false, runs: ["x@1"] }],
      },
    });
    vitest.expect(lines).toEqual([
      "node-1: ready, configuration 7, coordinator node-1, " +
      "store silent for 0 ms",
      "  a000000000000001 maps priority 1 queued: 4 waiting; waits for room",
      "  worker i-1 in r1 not usable: 1 runs",
    ]);
  });

  vitest.it("shows a node that does not coordinate in one line", () => {
    const lines = render.describeNode({ ...NODE, ready: false, work: null });
    vitest.expect(lines.length).toBe(1);
    vitest.expect(lines[0]).toContain("not ready");
  });
});
