/** Stored jobs. The row is written before the answer, so no accepted job is lost. */
import * as Errors from "@cairngate/errors";
import * as TableClient from "@cairngate/table-client";
import * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import * as parsing from "./parse_submission.ts";
import type * as ports from "./ports.ts";

const OWNER_TIMEOUT_MS = 2000;
const CANCEL_TIMEOUT_MS = 8000;
const POLL_INTERVAL_MS = 500;

/** Stores jobs, reads their records and cancels them. */
export class StoredJobs {
  readonly #ports: ports.EntryPorts;

  constructor(entryPorts: ports.EntryPorts) {
    this.#ports = entryPorts;
  }

  /** Stores a job. A key that was used before returns the existing job. */
  accept(
    job: Types.Job,
  ): Effect.Effect<Types.JobRecord, Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const record = newRecord(job, this.#ports.clock.wallMs());
      const key = TableClient.Keys.jobKey(job.cell, job.id);
      const endedKey = TableClient.Keys.endedKey(job.cell, job.id);
      const written = yield* Effect.result(this.#ports.writer.write({
        conditions: [{ key, revision: 0 }, { key: endedKey, revision: 0 }],
        writes: [{ key, value: record }],
      }));
      if (written._tag === "Failure") {
        if (written.failure._tag === "StoreUnavailableError") {
          return yield* written.failure;
        }
        return (yield* this.#readRow(job.id, job.cell)) ?? record;
      }
      yield* Effect.forkDetach(this.#notifyOwner(job.cell));
      return record;
    });
  }

  /** Returns the record of a job, after waiting up to `waitMs` for its end. */
  status(
    jobId: string,
    waitMs: number,
  ): Effect.Effect<
    Types.JobRecord,
    Errors.UnknownJobError | Errors.StoreUnavailableError
  > {
    return Effect.gen({ self: this }, function* () {
      const cell = yield* parsing.cellOfJobId(jobId);
      const { clock } = this.#ports;
      const untilMs = clock.monotonicMs() + waitMs;
      for (;;) {
        const leftMs = Math.max(0, Math.floor(untilMs - clock.monotonicMs()));
        const record = yield* this.#lookUp(jobId, cell, leftMs);
        if (record === null) {
          return yield* new Errors.UnknownJobError({ jobId });
        }
        const isTimedOut = clock.monotonicMs() >= untilMs;
        if (isTimedOut || Types.isFinalState(record.state)) {
          return yield* this.#withResult(record);
        }
        yield* clock.sleep(POLL_INTERVAL_MS);
      }
    });
  }

  /** Cancels a job through the owner of its cell and returns its record. */
  cancel(
    jobId: string,
  ): Effect.Effect<Types.JobRecord, Errors.UnknownJobError | ports.AskError> {
    return Effect.gen({ self: this }, function* () {
      const cell = yield* parsing.cellOfJobId(jobId);
      const kind = Types.PeerKind.Cancel as const;
      const req = { kind, cell, jobId };
      const record = yield* this.#ports.owners.request<Types.JobRecord | null>(
        cell,
        req,
        CANCEL_TIMEOUT_MS,
      );
      if (record === null) return yield* new Errors.UnknownJobError({ jobId });
      return record;
    });
  }

  /** Asks the owner, whose record is the latest, and falls back to the stored row. */
  #lookUp(
    jobId: string,
    cell: string,
    waitMs: number,
  ): Effect.Effect<Types.JobRecord | null, Errors.StoreUnavailableError> {
    const kind = Types.PeerKind.JobStatus as const;
    const req = { kind, cell, jobId, waitMs };
    const reply = this.#ports.owners.request<Types.JobRecord | null>(
      cell,
      req,
      waitMs + OWNER_TIMEOUT_MS,
    );
    return Effect.catch(reply, () => this.#readRow(jobId, cell));
  }

  #readRow(
    jobId: string,
    cell: string,
  ): Effect.Effect<Types.JobRecord | null, Errors.StoreUnavailableError> {
    const keys = [
      TableClient.Keys.endedKey(cell, jobId),
      TableClient.Keys.jobKey(cell, jobId),
    ];
    return Effect.map(
      this.#ports.store.read(keys),
      (rows) => (rows[0]?.value as Types.JobRecord | undefined) ?? null,
    );
  }

  /** Reads a large result back from the object store. */
  #withResult(
    record: Types.JobRecord,
  ): Effect.Effect<Types.JobRecord, Errors.StoreUnavailableError> {
    if (record.resultObject === null) return Effect.succeed(record);
    return this.#ports.objects.get(record.resultObject).pipe(
      Effect.map((result) => ({ ...record, result })),
      Effect.mapError(() =>
        new Errors.StoreUnavailableError({
          operation: "reading a result",
          cause: "the object store did not answer",
        })
      ),
    );
  }

  /** Speeds up the queueing; without it the owner finds the row within seconds. */
  #notifyOwner(cell: string): Effect.Effect<void> {
    const kind = Types.PeerKind.Enqueue as const;
    const notification = this.#ports.owners.request(
      cell,
      { kind, cell },
      OWNER_TIMEOUT_MS,
    );
    return Effect.ignore(notification);
  }
}

function newRecord(job: Types.Job, nowMs: number): Types.JobRecord {
  return {
    job,
    state: Types.JobState.Waiting,
    attempt: null,
    workers: [],
    result: null,
    resultObject: null,
    reason: null,
    updatedAtMs: nowMs,
  };
}
