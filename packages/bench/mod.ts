/** Simulates schedulers on traces of jobs, on a virtual clock. */
export {
  type BenchOptions,
  type BenchReport,
  runBench,
} from "./src/run_bench.ts";
export { type PolicyResult, simulate } from "./src/simulate.ts";
export { makeTrace, TRACE_NAMES, type TraceJob } from "./src/traces.ts";
