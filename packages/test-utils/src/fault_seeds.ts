/** Which seeds tests with random faults play. */
import process from "node:process";

/** Seeds that CI plays: about a minute of one core. */
const DEFAULT_RUNS = 12;

/** CAIRNGATE_FAULT_RUNS sets how many, CAIRNGATE_FAULT_FROM the first of them. */
export function faultSeeds(runs = DEFAULT_RUNS): readonly number[] {
  const length = Number(process.env["CAIRNGATE_FAULT_RUNS"] ?? runs);
  const first = Number(process.env["CAIRNGATE_FAULT_FROM"] ?? 1);
  return Array.from({ length }, (_, i) => first + i);
}
