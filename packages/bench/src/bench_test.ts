import * as vitest from "vitest";
import * as bench from "./run_bench.ts";
import * as traceFiles from "./trace_file.ts";

const { describe, expect, test } = vitest;

const LINE = {
  at: 0,
  team: "t",
  service: "s",
  tier: "batch",
  accelerators: 8,
  block: "rack",
  gang: 2,
  duration: 60,
  estimate: null,
  repeatable: true,
  checkpoint: null,
};

describe("the bench", () => {
  test("gives the same results for the same seed", async () => {
    const options = {
      deployment: "dala_toll",
      seed: 7,
      trace: "night",
      traceFile: null,
      policies: ["default"],
      workers: 8,
    } as const;
    const [first, second] = [
      await bench.runBench(options),
      await bench.runBench(options),
    ];
    expect(first.policies["default"].completion).toEqual(
      second.policies["default"].completion,
    );
    expect(first.policies["default"].ended).toBe(first.jobs);
    expect(first.ratios.completionMean).toBeLessThan(0.5);
  });
});

describe("a trace file", () => {
  test("is parsed line by line and sorted by time", () => {
    const jobs = traceFiles.parseTrace(
      `${JSON.stringify({ ...LINE, at: 5 })}\n\n${JSON.stringify(LINE)}\n`,
    );
    expect(jobs.map((job) => job.at)).toEqual([0, 5]);
  });

  test("reports every invalid line", () => {
    const text = [
      JSON.stringify({ ...LINE, tier: "high" }),
      JSON.stringify(LINE),
      "{",
      JSON.stringify({ ...LINE, gang: 16 }),
    ].join("\n");
    expect(() => traceFiles.parseTrace(text)).toThrow(
      /line 1: expected tier[^]*line 3: expected valid JSON[^]*line 4: expected block rack/,
    );
  });
});
