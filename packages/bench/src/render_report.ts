/** Renders the report as a plain-text table. */
import type * as bench from "./run_bench.ts";
import type * as simulation from "./simulate.ts";

const NAME_WIDTH = 30;
const COLUMN_WIDTH = 16;

/** Returns the lines of the report, with a column for each policy. */
export function renderReport(report: bench.BenchReport): string[] {
  const names = Object.keys(report.policies);
  const results = Object.values(report.policies);
  const lines = [
    `${report.deployment}, trace ${report.trace}, seed ${report.seed}, ` +
    `${report.workers} workers, ${report.jobs} jobs, ` +
    `${report.workOverCapacityH.toFixed(1)} h of work over capacity`,
    row("", names),
  ];
  for (const tier of ["all", "urgent", "standard", "batch"]) {
    for (const field of ["mean", "p50", "p95", "p99"] as const) {
      lines.push(
        resultRow(
          `${tier} completion ${field} s`,
          results,
          (r) => r.completion[tier]?.[field],
        ),
      );
    }
    lines.push(
      resultRow(
        `${tier} mean over lower bound`,
        results,
        (r) => r.completion[tier]?.overLowerBound,
      ),
    );
  }
  for (const block of ["8", "16", "32", "64"]) {
    lines.push(
      resultRow(
        `fragmentation, block ${block}`,
        results,
        (r) => r.fragmentation[block],
      ),
    );
  }
  for (const [label, field] of RESULT_ROWS) {
    lines.push(resultRow(label, results, (r) => r[field] as number));
  }
  lines.push("default ÷ naive:");
  for (const [name, value] of Object.entries(report.ratios)) {
    lines.push(row(`  ${name}`, [value.toFixed(3)]));
  }
  return lines;
}

const RESULT_ROWS:
  readonly (readonly [string, keyof simulation.PolicyResult])[] = [
    ["longest gang wait s", "gangWaitMaxS"],
    ["preemptions", "preemptions"],
    ["lost accelerator hours", "lostAcceleratorHours"],
    ["reclaim p99 s", "reclaimP99S"],
    ["reclaim max s", "reclaimMaxS"],
    ["utilisation", "utilisation"],
    ["makespan h", "makespanH"],
    ["decisions a second", "decisionsPerSecond"],
    ["plan p50 ms", "planP50Ms"],
    ["plan p99 ms", "planP99Ms"],
    ["peak heap MB", "heapPeakMb"],
    ["jobs ended", "ended"],
    ["jobs expired", "expired"],
  ];

function resultRow(
  label: string,
  results: readonly simulation.PolicyResult[],
  select: (result: simulation.PolicyResult) => number | undefined,
): string {
  return row(label, results.map((r) => format(select(r))));
}

function format(value: number | undefined): string {
  if (value === undefined) return "-";
  if (Math.abs(value) >= 1000) return value.toFixed(0);
  return value.toPrecision(3);
}

function row(label: string, cells: readonly string[]): string {
  const text = cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join("");
  return label.padEnd(NAME_WIDTH) + text;
}
