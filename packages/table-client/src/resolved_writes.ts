/**
 * Writes that resolve lost answers. A transaction whose answer is lost is resolved by
 * reading its rows back: each row names the transaction that wrote it. A retry sends
 * the same transaction; its conditions keep it from taking effect twice.
 */
import * as Errors from "@cairngate/errors";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as keys from "./keys.ts";
import type * as storeErrors from "./store_errors.ts";
import type * as healths from "./store_health.ts";
import type * as timedCalls from "./timed_calls.ts";
import type * as budgets from "./write_budget.ts";

/** Dependencies of `ResolvedWrites`. */
export interface ResolvedWritesOptions {
  readonly table: Ports.TableService;
  readonly clock: Ports.Clock;
  readonly metrics: Metrics.Metrics;
  readonly health: healths.StoreHealth;
  readonly calls: timedCalls.TimedCalls;
  readonly budget: budgets.WriteBudget;
}

type WriteResult =
  | { readonly kind: "written"; readonly revision: number }
  | {
    readonly kind: "refused";
    readonly err: Errors.ConditionFailedError | Errors.WriteRefusedError;
  }
  | { readonly kind: "lost" }
  | { readonly kind: "down" };

/** Carries out the writes of one client. */
export class ResolvedWrites {
  readonly #options: ResolvedWritesOptions;

  constructor(options: ResolvedWritesOptions) {
    this.#options = options;
  }

  /** Retries a write until it is done, refused, or the deadline has passed. */
  write(
    tx: Ports.Transaction,
    deadlineMs: number,
  ): Effect.Effect<number, storeErrors.WriteFailure> {
    const { clock, calls, budget } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const endMs = clock.monotonicMs() + deadlineMs;
      const backoff = calls.backoffUntil(endMs);
      let isUncertain = false;
      for (;;) {
        yield* budget.take(endMs);
        const result = yield* this.#attempt(tx);
        if (result.kind === "written") return result.revision;
        if (result.kind === "refused" && !isUncertain) return yield* result.err;
        isUncertain ||= result.kind === "lost";
        if (isUncertain) {
          const revision = yield* this.#readBack(tx);
          if (revision !== null) return revision;
          if (result.kind === "refused") return yield* result.err;
        }
        if (backoff.isExhausted) return yield* deadlineExceeded(isUncertain);
        yield* backoff.pause();
      }
    });
  }

  #attempt(tx: Ports.Transaction): Effect.Effect<WriteResult> {
    const { table, metrics, health, calls } = this.#options;
    metrics.count("cairngate_store_writes_total");
    const target = { operation: "write", partition: partitionOf(tx) };
    return calls.call(target, table.transact(tx), health.writeTimeoutMs).pipe(
      Effect.map((revision): WriteResult => ({ kind: "written", revision })),
      Effect.catchTags({
        ConditionFailedError: (err) =>
          Effect.succeed<WriteResult>({ kind: "refused", err }),
        WriteRefusedError: (err) =>
          Effect.succeed<WriteResult>({ kind: "refused", err }),
        AnswerLostError: () => Effect.succeed<WriteResult>({ kind: "lost" }),
        StoreUnavailableError: () =>
          Effect.succeed<WriteResult>({ kind: "down" }),
      }),
    );
  }

  /** Revision of a transaction that took effect; null where no row shows it. */
  #readBack(tx: Ports.Transaction): Effect.Effect<number | null> {
    const { table, metrics, calls } = this.#options;
    const puts = tx.writes.filter((w) => w.value !== null);
    const call = table.read(puts.map((w) => w.key));
    metrics.count("cairngate_store_lost_answers_total");
    const target = { operation: "read", partition: partitionOf(tx) };
    return calls.call(target, call).pipe(
      Effect.map((rows) => {
        const own = rows.find((row) => row.writeId === tx.writeId);
        return own?.revision ?? null;
      }),
      Effect.catch(() => Effect.succeed(null)),
    );
  }
}

function deadlineExceeded(perhapsDone: boolean): Errors.StoreUnavailableError {
  return new Errors.StoreUnavailableError({
    operation: "write",
    cause: "no answer before the deadline",
    perhapsDone,
  });
}

/** Partition of a transaction, which never spans several. */
function partitionOf({ writes, conditions }: Ports.Transaction): string {
  return keys.partitionOfKey((writes[0] ?? conditions[0])?.key ?? "");
}
