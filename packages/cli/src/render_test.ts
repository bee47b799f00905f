import * as Types from "@cairngate/types";
import * as vitest from "vitest";
import * as rendering from "./render.ts";

const { describe, expect, test } = vitest;

const MAX_COLUMNS = 80;

function explanation(): Types.Explanation {
  return {
    jobId: "moravia.0123456789abcdef01234567",
    team: "coop_vysocina",
    service: "soil_compaction",
    tier: Types.Tier.Batch,
    state: Types.JobState.Waiting,
    accelerators: 8,
    gang: 8,
    adjacency: Types.Adjacency.Rack,
    entitlement: null,
    workers: Array.from({ length: 12 }, (_, i) => `worker_${i}`),
    waitsFor: [{
      kind: Types.ReasonKind.WaitsForBlock,
      atMs: 0,
      detail: "8 block(s) of 8 in one rack, while 200 accelerators are free " +
        "in pieces that are too small for it",
    }],
    ahead: ["moravia.a", "moravia.b"],
    startsWhen: "about 120 s from now, by the estimates",
    history: [{ kind: Types.ReasonKind.Submitted, atMs: 0, detail: "now" }],
  };
}

describe("rendered output", () => {
  test("explains a job within 80 columns", () => {
    const lines = rendering.renderExplanation(explanation());
    expect(Math.max(...lines.map((line) => line.length)))
      .toBeLessThanOrEqual(MAX_COLUMNS);
    expect(lines.join("\n")).toContain("in front: moravia.a, moravia.b");
    expect(lines.join("\n")).toContain("starts about 120 s from now");
  });

  test("shows a cell with its shortage within 80 columns", () => {
    const lines = rendering.renderStatus({
      version: 3,
      unreachable: ["olomouc"],
      cells: [{
        cell: "moravia",
        owner: "box_1",
        epoch: 7,
        holdover: true,
        sealedWorkers: 7,
        workers: 8,
        waiting: 2,
        running: 5,
        racks: [{ name: "rack_1", workers: Array(8).fill("gggg....") }],
        teams: [{
          team: "coop_hana",
          tier: Types.Tier.Urgent,
          guaranteed: 48,
          used: 12,
          usedGuaranteed: 12,
          reclaimable: 36,
          waiting: 1,
          shortfall: 8,
        }],
        fragmentation: [{ block: 8, value: 0.25 }],
      }],
    });
    expect(Math.max(...lines.map((line) => line.length)))
      .toBeLessThanOrEqual(MAX_COLUMNS);
    expect(lines.join("\n")).toContain("SHORT BY 8");
    expect(lines.join("\n")).toContain("holding over");
    expect(lines.join("\n")).toContain("olomouc: no owner responds");
  });

  test("shows only the lines that differ between two versions", () => {
    expect(rendering.diffLines("a\nb\nc", "a\nx\nc\nd")).toEqual([
      "- b",
      "+ x",
      "+ d",
    ]);
  });
});
