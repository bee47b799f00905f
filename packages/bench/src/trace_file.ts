/** Parses traces in JSON lines and reports all invalid lines, up to MAX_FAULTS. */
import * as Data from "effect/Data";
import type * as traces from "./traces.ts";

/** Thrown for an invalid trace; `faults` holds a message for each invalid line. */
export class InvalidTraceError extends Data.TaggedError("InvalidTraceError")<{
  readonly faults: readonly string[];
}> {
  override get message(): string {
    return `The trace is not valid:\n${this.faults.join("\n")}`;
  }
}

const TIERS = ["urgent", "standard", "batch"];
const BLOCKS = ["any", "worker", "rack"];
const MAX_FAULTS = 20;

/** Parses a trace and sorts its jobs by time. Throws InvalidTraceError. */
export function parseTrace(text: string): traces.TraceJob[] {
  const jobs: traces.TraceJob[] = [];
  const faults: string[] = [];
  text.split("\n").forEach((line, i) => {
    if (line.trim() === "" || faults.length >= MAX_FAULTS) return;
    const value = parseLine(line);
    const fault = value === null ? "valid JSON" : findFault(value);
    if (fault === null) jobs.push(value as unknown as traces.TraceJob);
    else faults.push(`line ${i + 1}: expected ${fault}`);
  });
  if (faults.length > 0) throw new InvalidTraceError({ faults });
  return jobs.sort((a, b) => a.at - b.at);
}

function parseLine(line: string): Record<string, unknown> | null {
  try {
    const value = JSON.parse(line) as unknown;
    const isObject = typeof value === "object" && value !== null;
    return isObject ? value as Record<string, unknown> : null;
  } catch {
    return null;
  }
}

function findFault(job: Record<string, unknown>): string | null {
  if (!isNumber(job["at"], 0)) return "at: seconds from the start";
  if (typeof job["team"] !== "string") return "team: a name";
  if (typeof job["service"] !== "string") return "service: a name";
  if (!TIERS.includes(String(job["tier"]))) return `tier: ${TIERS.join("|")}`;
  if (!BLOCKS.includes(String(job["block"]))) {
    return `block: ${BLOCKS.join("|")}`;
  }
  if (!isCount(job["accelerators"])) return "accelerators: a whole number";
  if (!isCount(job["gang"])) return "gang: a whole number";
  if (!isNumber(job["duration"], 0)) return "duration: seconds";
  if (!isOptional(job["estimate"])) return "estimate: seconds or null";
  if (!isOptional(job["checkpoint"])) return "checkpoint: seconds or null";
  if (typeof job["repeatable"] !== "boolean") {
    return "repeatable: true or false";
  }
  return findOversize(job as unknown as traces.TraceJob);
}

/** Checks the size of a job: racks have 8 workers with 8 accelerators each. */
function findOversize(job: traces.TraceJob): string | null {
  const { accelerators, gang, block } = job;
  if (accelerators > 8) {
    return "accelerators: at most 8 a member; use a gang for more";
  }
  if (block === "worker" && accelerators * gang > 8) {
    return "block worker: at most 8 accelerators in all";
  }
  if (block === "rack" && accelerators * gang > 64) {
    return "block rack: at most 64 accelerators in all";
  }
  return null;
}

function isNumber(value: unknown, minimum: number): boolean {
  return typeof value === "number" && Number.isFinite(value) &&
    value >= minimum;
}

function isCount(value: unknown): boolean {
  return Number.isInteger(value) && (value as number) >= 1;
}

function isOptional(value: unknown): boolean {
  return value === null || value === undefined || isNumber(value, 0);
}
