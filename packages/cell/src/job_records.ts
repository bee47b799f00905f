/**
 * Rows of stored jobs. Every write has the revision of the owner row as a
 * condition, so a superseded owner can't overwrite a record.
 */
import type * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as leases from "./owner_lease.ts";
import type * as ports from "./ports.ts";

/** Larger results, measured as JSON text, go to the object store. */
const MAX_ROW_RESULT_BYTES = 16_000;
const RETRY_DELAY_MS = 500;

/** Reads and writes the rows of one cell's stored jobs. */
export class JobRecords {
  readonly #ports: ports.CellPorts;
  readonly #lease: leases.OwnerLease;
  #scannedRevision = 0;

  constructor(cellPorts: ports.CellPorts, lease: leases.OwnerLease) {
    this.#ports = cellPorts;
    this.#lease = lease;
  }

  /** Loads the records that changed since the last call. */
  loadChanged(): Effect.Effect<
    readonly Types.JobRecord[],
    Errors.StoreUnavailableError
  > {
    return Effect.gen({ self: this }, function* () {
      const prefix = TableClient.Keys.jobPrefix(this.#lease.cell);
      const rows = yield* this.#ports.store.scan(prefix, this.#scannedRevision);
      for (const row of rows) {
        this.#scannedRevision = Math.max(this.#scannedRevision, row.revision);
      }
      return rows.map((row) => row.value as Types.JobRecord);
    });
  }

  /** Loads the record of one job; null if there is none. */
  load(
    jobId: string,
  ): Effect.Effect<Types.JobRecord | null, Errors.StoreUnavailableError> {
    const { cell } = this.#lease;
    const keys = [
      TableClient.Keys.endedKey(cell, jobId),
      TableClient.Keys.jobKey(cell, jobId),
    ];
    return Effect.map(
      this.#ports.store.read(keys),
      (rows) => (rows[0]?.value as Types.JobRecord | undefined) ?? null,
    );
  }

  /** Writes a record, without retries. */
  save(
    record: Types.JobRecord,
  ): Effect.Effect<
    void,
    Errors.StoreUnavailableError | Errors.ConditionFailedError
  > {
    const { cell } = this.#lease;
    const key = TableClient.Keys.jobKey(cell, record.job.id);
    const value = { ...record, updatedAtMs: this.#ports.clock.wallMs() };
    const writes: Ports.RowWrite[] = [{ key, value }];
    if (Types.isFinalState(record.state)) {
      // Ended jobs move to keys of their own, so that the next owner scans only
      // unfinished jobs.
      const endedKey = TableClient.Keys.endedKey(cell, record.job.id);
      writes[0] = { key, value: null };
      writes.push({ key: endedKey, value });
    }
    const conditions = [this.#lease.condition];
    return Effect.asVoid(this.#ports.writer.write({ conditions, writes }));
  }

  /**
   * Writes the end of a job and retries until it is written or the ownership
   * is lost. Returns false if it was lost: the next owner then ends the job.
   */
  saveEnd(record: Types.JobRecord): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#lease.isLost) {
        const offloaded = yield* Effect.exit(this.#offloadResult(record));
        if (offloaded._tag === "Success") {
          const saved = yield* Effect.result(this.save(offloaded.value));
          if (saved._tag === "Success") return true;
          if (saved.failure._tag === "ConditionFailedError") {
            yield* this.#lease.renew();
          }
        }
        yield* this.#ports.clock.sleep(RETRY_DELAY_MS);
      }
      return false;
    });
  }

  /** Moves a large result to the object store and replaces it by its key. */
  #offloadResult(record: Types.JobRecord) {
    return Effect.gen({ self: this }, function* () {
      const size = JSON.stringify(record.result ?? null).length;
      if (size <= MAX_ROW_RESULT_BYTES) return record;
      const { cell } = this.#lease;
      const key = TableClient.Keys.resultObjectKey(cell, record.job.id);
      yield* this.#ports.objects.put(key, record.result);
      return { ...record, result: null, resultObject: key };
    });
  }
}
