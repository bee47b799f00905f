/**
 * Durable intents of unrepeatable short jobs. The row is written under the job's
 * id before the dispatch, so that no other box dispatches the same job.
 */
import * as Errors from "@cairngate/errors";
import * as TableClient from "@cairngate/table-client";
import type * as Types from "@cairngate/types";
import * as Effect from "effect/Effect";
import type * as ports from "./ports.ts";

/** Stored value of an intent row. */
export interface IntentRow {
  readonly box: string;
  readonly attempt: string;
  readonly worker: string;
  /** Hash of the request that the idempotency key was first used for. */
  readonly digest: string;
  /** Wall-clock time of the write; rows are removed by age. */
  readonly atMs: number;
  /** Null until the outcome is known. */
  readonly outcome: Types.Outcome | null;
}

/** Result of a claim: made by this box, or held by another claim. */
export type IntentClaim =
  | { readonly kind: "own"; readonly revision: number }
  | { readonly kind: "other" };

/** An intent row with its revision. */
export interface StoredIntent {
  readonly row: IntentRow;
  readonly revision: number;
}

const POLL_INTERVAL_MS = 200;
const MAX_SAVE_TRIES = 2;

/** Reads and writes intents in the store. */
export class Intents {
  readonly #ports: ports.EntryPorts;

  constructor(entryPorts: ports.EntryPorts) {
    this.#ports = entryPorts;
  }

  /**
   * Claims a job for this box and attempt. Returns "other" when the row's revision
   * is not the expected one, because another claim was written first.
   */
  claim(
    job: Types.Job,
    claimant: { attempt: string; worker: string; revision: number },
  ): Effect.Effect<IntentClaim, Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const key = TableClient.Keys.intentKey(job.cell, job.id);
      const { attempt, worker } = claimant;
      const value: IntentRow = {
        box: this.#ports.box,
        attempt,
        worker,
        digest: job.digest,
        atMs: this.#ports.clock.wallMs(),
        outcome: null,
      };
      const written = yield* Effect.result(this.#ports.writer.write({
        conditions: [{ key, revision: claimant.revision }],
        writes: [{ key, value }],
      }));
      if (written._tag === "Success") {
        return { kind: "own", revision: written.success } as const;
      }
      if (written.failure._tag === "StoreUnavailableError") {
        return yield* written.failure;
      }
      return { kind: "other" } as const;
    });
  }

  /** Reads the intent of a job; null if there is none. */
  read(
    job: Types.Job,
  ): Effect.Effect<StoredIntent | null, Errors.StoreUnavailableError> {
    const key = TableClient.Keys.intentKey(job.cell, job.id);
    return Effect.map(this.#ports.store.read([key]), ([found]) => {
      if (found === undefined) return null;
      return { row: found.value as IntentRow, revision: found.revision };
    });
  }

  /**
   * Records the outcome of a claim. Writes nothing if another box has claimed the
   * job since. Logs a warning when the store fails MAX_SAVE_TRIES times.
   */
  saveOutcome(
    job: Types.Job,
    claimant: {
      attempt: string;
      worker: string;
      revision: number;
      outcome: Types.Outcome;
    },
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const key = TableClient.Keys.intentKey(job.cell, job.id);
      const { revision, ...rest } = claimant;
      const { box, clock } = this.#ports;
      const atMs = clock.wallMs();
      const value: IntentRow = { box, atMs, digest: job.digest, ...rest };
      const conditions = [{ key, revision }];
      const write = { conditions, writes: [{ key, value }] };
      for (let i = 0; i < MAX_SAVE_TRIES; i++) {
        const saved = yield* Effect.result(this.#ports.writer.write(write));
        if (saved._tag === "Success") return;
        if (saved.failure._tag === "ConditionFailedError") return;
      }
      this.#ports.log.warn(`The outcome of job ${job.id} was not recorded.`);
    });
  }

  /**
   * Waits for the outcome that another box records. Returns null on timeout, or if
   * the key was used for another request.
   */
  awaitOutcome(
    job: Types.Job,
    untilMs: number,
  ): Effect.Effect<Types.Outcome | null> {
    return Effect.gen({ self: this }, function* () {
      const { clock } = this.#ports;
      while (clock.monotonicMs() < untilMs) {
        const row = yield* Effect.result(this.read(job));
        const intent = row._tag === "Success" ? row.success : null;
        if (intent !== null && intent.row.digest !== job.digest) return null;
        if (intent !== null && intent.row.outcome !== null) {
          return intent.row.outcome;
        }
        yield* clock.sleep(POLL_INTERVAL_MS);
      }
      return null;
    });
  }
}
