/** Fault-injection tests with real processes: kills, pauses and outages. */
export { type DrillOptions, runDrill } from "./src/run_drill.ts";
export { type DrillReport } from "./src/drill_report.ts";
export { compareWithDirectCalls } from "./src/compare_direct.ts";
