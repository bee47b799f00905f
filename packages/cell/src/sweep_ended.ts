/** Deletes the rows of jobs that ended long ago. */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";

const SWEEP_INTERVAL_MS = 3_600_000;
const RETENTION_MS = 7 * 24 * 3_600_000;
const ROWS_PER_WRITE = 100;
const WRITE_PAUSE_MS = 1000;

/** Sweeps periodically; rows left by a failed sweep remain for the next one. */
export function keepSweeping(
  cellPorts: ports.CellPorts,
  lease: leases.OwnerLease,
): Effect.Effect<never> {
  const sweep = Effect.ignore(sweepEnded(cellPorts, lease));
  const pause = cellPorts.clock.sleep(SWEEP_INTERVAL_MS);
  return Effect.forever(Effect.andThen(pause, sweep));
}

/**
 * Deletes ended jobs and intents older than a week and returns their number.
 * Batches with pauses limit the load on the store.
 */
export function sweepEnded(
  cellPorts: ports.CellPorts,
  lease: leases.OwnerLease,
) {
  return Effect.gen(function* () {
    const { store, clock } = cellPorts;
    const beforeMs = clock.wallMs() - RETENTION_MS;
    const rows = yield* store.scan(TableClient.Keys.endedPrefix(lease.cell));
    const intents = yield* store.scan(
      TableClient.Keys.intentPrefix(lease.cell),
    );
    const old = [...rows, ...intents].filter((row) => isOlder(row, beforeMs));
    for (let i = 0; i < old.length; i += ROWS_PER_WRITE) {
      const batch = old.slice(i, i + ROWS_PER_WRITE);
      yield* store.write({
        conditions: [lease.condition],
        writes: batch.map(({ key }) => ({ key, value: null })),
      });
      yield* clock.sleep(WRITE_PAUSE_MS);
    }
    return old.length;
  });
}

function isOlder(row: Ports.Row, beforeMs: number): boolean {
  const value = row.value as Partial<Types.JobRecord & { atMs: number }>;
  const atMs = value.updatedAtMs ?? value.atMs ?? Infinity;
  return atMs < beforeMs;
}
