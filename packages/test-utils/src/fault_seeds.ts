/** Selects the seeds of tests with random faults. */
import process from "node:process";

/** Number of seeds that CI runs: about a minute on one core. */
const DEFAULT_RUNS = 12;

/**
 * Returns consecutive seeds. CAIRNGATE_FAULT_RUNS sets their number and
 * CAIRNGATE_FAULT_FROM the first one.
 */
export function faultSeeds(runs = DEFAULT_RUNS): readonly number[] {
  const length = Number(process.env["CAIRNGATE_FAULT_RUNS"] ?? runs);
  const first = Number(process.env["CAIRNGATE_FAULT_FROM"] ?? 1);
  return Array.from({ length }, (_, i) => first + i);
}
