/**
 * Client of the table service. Every call has a deadline; writes whose answers are
 * lost are resolved (resolved_writes.ts).
 */
import type * as Errors from "@cairngate/errors";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";
import * as keys from "./keys.ts";
import * as pagedReads from "./paged_read.ts";
import * as resolvedWrites from "./resolved_writes.ts";
import * as storeErrors from "./store_errors.ts";
import * as healths from "./store_health.ts";
import * as timedCalls from "./timed_calls.ts";
import * as budgets from "./write_budget.ts";

/** Dependencies and settings of a store client. */
export interface StoreClientOptions {
  readonly table: Ports.TableService;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly metrics: Metrics.Metrics;
  /** Write budget of this box; writes beyond it wait. */
  readonly writesPerSecond: number;
}

/** A transaction; the client adds an id where the caller gives none. */
export interface Write {
  readonly conditions: readonly Ports.RowCondition[];
  readonly writes: readonly Ports.RowWrite[];
  /** Given where a later attempt has to count as the same write. */
  readonly writeId?: string;
}

/** Default time after which a call fails, in ms. */
const DEFAULT_DEADLINE_MS = 3000;

/** Reads and writes rows; fails with `StoreUnavailableError` at the deadline. */
export class StoreClient {
  readonly #options: StoreClientOptions;
  readonly #health: healths.StoreHealth;
  readonly #calls: timedCalls.TimedCalls;
  readonly #writes: resolvedWrites.ResolvedWrites;

  constructor(options: StoreClientOptions) {
    this.#options = options;
    const { table, clock, random, metrics, writesPerSecond } = options;
    const health = new healths.StoreHealth(clock);
    const calls = new timedCalls.TimedCalls({ clock, random, metrics, health });
    const budget = new budgets.WriteBudget(clock, writesPerSecond);
    const shared = { table, clock, metrics, health, calls };
    this.#health = health;
    this.#calls = calls;
    this.#writes = new resolvedWrites.ResolvedWrites({ ...shared, budget });
  }

  /** Whether the circuit breakers of all used partitions are closed. */
  isReachable(): boolean {
    return this.#health.isReachable();
  }

  /** Moving average of the time of a write, in ms; 0 before the first. */
  get averageWriteMs(): number {
    return this.#health.averageWriteMs;
  }

  /** Time after which a call is hedged with a second attempt, in ms. */
  get hedgeDelayMs(): number {
    return this.#health.hedgeDelayMs;
  }

  /** Whether calls to a partition fail at once after repeated failures. */
  isCircuitOpen(partition: string): boolean {
    return this.#health.breaker(partition).isOpen();
  }

  /** Records an answer of the service to a call made without this client. */
  recordAnswer(): void {
    this.#health.recordAnswer();
  }

  /** Records the failure of a call made without this client. */
  recordFailure(): void {
    this.#health.recordFailure();
  }

  /** Time for which all calls have failed, in ms; 0 if the last one was answered. */
  failingForMs(): number {
    return this.#health.failingForMs();
  }

  /** Records the time of an answer to a call made without this client, in ms. */
  recordDelay(tookMs: number): void {
    this.#health.recordDelay(tookMs);
  }

  /** Completes when the service answers again after an outage. */
  awaitRecovery(): Effect.Effect<void> {
    return this.#health.awaitRecovery();
  }

  /** Reads rows by key; absent ones are left out. */
  read(
    rowKeys: readonly string[],
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<readonly Ports.Row[], storeErrors.StoreFailure> {
    const call = () => this.#options.table.read(rowKeys);
    const partition = keys.partitionOfKey(rowKeys[0] ?? "");
    return this.#retryRead({ operation: "read", partition }, call, deadlineMs);
  }

  /** Reads the rows under a prefix that are newer than a revision. */
  scan(
    prefix: string,
    afterRevision = 0,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<readonly Ports.Row[], storeErrors.StoreFailure> {
    const call = () => this.#options.table.scan(prefix, afterRevision);
    const partition = keys.partitionOfKey(prefix);
    return this.#retryRead({ operation: "scan", partition }, call, deadlineMs);
  }

  /**
   * Reads all rows under a prefix page by page, without a deadline for the whole
   * read; fails where no page arrives for `idleTimeoutMs`.
   */
  readAll(
    prefix: string,
    idleTimeoutMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<readonly Ports.Row[], storeErrors.StoreFailure> {
    const { table, clock } = this.#options;
    const read = new pagedReads.PagedRead({
      clock,
      read: (request) => table.scanPage(prefix, request),
    });
    const partition = keys.partitionOfKey(prefix);
    const target = { operation: "scan", partition };
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        // `PagedRead` has its own timeout for a page, which has to end first.
        const page = () => read.readPage();
        const timeoutMs = pagedReads.PAGE_TIMEOUT_MS + healths.CALL_TIMEOUT_MS;
        const isLast = yield* this.#retryRead(
          target,
          page,
          idleTimeoutMs,
          timeoutMs,
        );
        if (isLast) return read.items;
      }
    });
  }

  /**
   * Writes and returns the revision. After `StoreUnavailableError` the write may
   * still have taken effect.
   */
  write(
    write: Write,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<
    number,
    storeErrors.StoreFailure | Errors.ConditionFailedError
  > {
    return Effect.catchTag(
      this.writeReportingRefusal(write, deadlineMs),
      "WriteRefusedError",
      (err) => storeErrors.unavailable("write", err.message),
    );
  }

  /** Like `write`, but fails with `WriteRefusedError` where the store refuses it. */
  writeReportingRefusal(
    write: Write,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<number, storeErrors.WriteFailure> {
    const writeId = write.writeId ?? this.#options.random.id();
    const tx = { ...write, writeId };
    return this.#writes.write(tx, deadlineMs);
  }

  #retryRead<A>(
    target: timedCalls.Target,
    call: () => Effect.Effect<A, Ports.StoreError>,
    deadlineMs: number,
    timeoutMs = healths.CALL_TIMEOUT_MS,
  ): Effect.Effect<A, storeErrors.StoreFailure> {
    const { clock, metrics } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const endMs = clock.monotonicMs() + deadlineMs;
      const backoff = this.#calls.backoffUntil(endMs);
      for (;;) {
        metrics.count("cairngate_store_reads_total");
        const rows = yield* this.#calls.call(target, call(), timeoutMs).pipe(
          Effect.catch(() => Effect.succeed(null)),
        );
        if (rows !== null) return rows;
        if (backoff.isExhausted) {
          const cause = "no answer before the deadline";
          return yield* storeErrors.unavailable(target.operation, cause);
        }
        yield* backoff.pause();
      }
    });
  }
}
