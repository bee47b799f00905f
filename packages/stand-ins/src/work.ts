/** Small computations for the stand-in endpoints, so that tests can check answers. */

/** Input of a gang member: the job's input, its rank and the size of the gang. */
export interface WorkInput {
  readonly input: unknown;
  readonly rank: number;
  readonly gang: number;
}

/** Telemetry reading of a tractor. */
interface Reading {
  readonly code: string;
  readonly value: number;
  readonly limit: number;
}

/** Plate captured at a gantry. */
interface Capture {
  readonly plate: string;
  readonly gantry?: string;
}

interface Account {
  readonly plate: string;
  readonly account: string;
}

/** Claim of one road operator against another. */
interface Claim {
  readonly from: string;
  readonly to: string;
  readonly amount: number;
}

/** Runs the named computation; an unknown name returns the input. */
export function doWork(work: string, member: WorkInput): unknown {
  const input = (member.input ?? {}) as Record<string, unknown>;
  const result = compute(work, input, member);
  return { work, ...(result as object), request: input["request"] ?? null };
}

function compute(
  work: string,
  input: Record<string, unknown>,
  member: WorkInput,
): unknown {
  switch (work) {
    case "fault_scan":
      return scanFaults(listOf<Reading>(input["readings"]));
    case "plate_match":
      return matchPlates(
        listOf<Capture>(input["captures"]),
        listOf<Account>(input["accounts"]),
      );
    case "yield_map":
    case "soil_compaction":
      return averageCells(listOf<number>(input["grid"]), member);
    case "settlement":
      return settle(listOf<Claim>(input["claims"]), member);
    default:
      return { echo: input };
  }
}

function listOf<T>(value: unknown): readonly T[] {
  return Array.isArray(value) ? value : [];
}

function scanFaults(readings: readonly Reading[]): unknown {
  const faults = readings.filter((r) => r.value > r.limit).map((r) => r.code);
  return { faults, scanned: readings.length };
}

function matchPlates(
  captures: readonly Capture[],
  accounts: readonly Account[],
): unknown {
  const byPlate = new Map(accounts.map((a) => [a.plate, a.account]));
  const matched = captures.filter((c) => byPlate.has(c.plate))
    .map((c) => ({ plate: c.plate, account: byPlate.get(c.plate) }));
  const unmatched = captures.filter((c) => !byPlate.has(c.plate))
    .map((c) => c.plate);
  return { matched, unmatched };
}

function averageCells(grid: readonly number[], member: WorkInput): unknown {
  const own = grid.filter((_, i) => i % member.gang === member.rank);
  const sum = own.reduce((total, value) => total + value, 0);
  return { cells: own.length, sum };
}

function settle(claims: readonly Claim[], member: WorkInput): unknown {
  const balances: Record<string, number> = {};
  claims.forEach((claim, i) => {
    if (i % member.gang !== member.rank) return;
    balances[claim.from] = (balances[claim.from] ?? 0) - claim.amount;
    balances[claim.to] = (balances[claim.to] ?? 0) + claim.amount;
  });
  return { balances };
}
