/**
 * Client of the table service. Every call has a deadline. A transaction whose
 * answer is lost is resolved by reading its rows back: each row names the
 * transaction that wrote it. A retry is the same transaction, and its
 * conditions keep it from taking effect twice.
 */
import * as Errors from "@cairngate/errors";
import type * as Metrics from "@cairngate/metrics";
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as breakers from "./circuit_breaker.ts";
import * as keys from "./keys.ts";
import * as pagedReads from "./paged_read.ts";

/** What a store client needs. */
export interface StoreClientOptions {
  readonly table: Ports.TableService;
  readonly clock: Ports.Clock;
  readonly random: Ports.RandomSource;
  readonly metrics: Metrics.Metrics;
  /** Budget of this box; writes beyond it wait. */
  readonly writesPerSecond: number;
}

/** Why a call gave up. */
export type StoreFailure = Errors.StoreUnavailableError;

/** Why a write was not carried out. */
export type WriteFailure =
  | StoreFailure
  | Errors.ConditionFailedError
  | Errors.WriteRefusedError;

/** A transaction without its id; the client gives it one. */
export interface Write {
  readonly conditions: readonly Ports.RowCondition[];
  readonly writes: readonly Ports.RowWrite[];
  /** Given by the caller where a later attempt must be the same write. */
  readonly writeId?: string;
}

/** A call without an answer counts as lost after this time, in ms. */
const CALL_MS = 1000;
/**
 * The same for a write while the store is slow, in ms: a second in its queue, and
 * the answer of a store 90 times slower twice.
 */
const LONGEST_WRITE_MS = 2000;
const FIRST_BACKOFF_MS = 40;
const LONGEST_BACKOFF_MS = 1000;
/** Time after which a call gives up, unless the caller says otherwise. */
const DEFAULT_DEADLINE_MS = 3000;
const BURST_SECONDS = 1;
/** Writes that take this many times the usual time are late. */
const HEDGE_FACTOR = 4;
const LEAST_HEDGE_MS = 40;
const LONGEST_HEDGE_MS = 1000;
/**
 * After a silence of this length an answer means that the service is back. A
 * service of which some partitions answer is never silent for so long.
 */
const OUTAGE_MS = 300;
/**
 * A slow answer is remembered for this long, in ms: every box looks for a new
 * configuration a few times in it.
 */
const SLOW_MEMORY_MS = 3000;
/** Weight of the newest write in the usual time. */
const NEWEST_WEIGHT = 0.3;

/** Reads and writes rows; fails with one error after its deadline. */
export class StoreClient {
  readonly #options: StoreClientOptions;
  /** One for each partition: some may fail while others answer. */
  readonly #breakers = new Map<string, breakers.CircuitBreaker>();
  #tokens: number;
  #tokensAtMs: number;
  #failingSinceMs: number | null = null;
  #usualWriteMs = 0;
  /** The slowest answer of late. */
  #slowest = { atMs: Number.NEGATIVE_INFINITY, tookMs: 0 };
  /** Done when the service answers again after an outage. */
  #back = Deferred.makeUnsafe<void>();

  constructor(options: StoreClientOptions) {
    this.#options = options;
    this.#tokens = options.writesPerSecond * BURST_SECONDS;
    this.#tokensAtMs = options.clock.monotonicMs();
  }

  /** Whether all partitions that are used answered lately. */
  isReachable(): boolean {
    return [...this.#breakers.values()].every((one) => !one.isOpen());
  }

  /** What a write usually takes, in ms; 0 before the first. */
  get usualWriteMs(): number {
    return this.#usualWriteMs;
  }

  /**
   * Time after which a second try beside a call is worth its price. Refusals of a
   * store that is slow count as well: where all is slow, more tries only make it
   * slower. A call without an answer does not: its partition may be away while
   * others answer.
   */
  get hedgeMs(): number {
    const longestMs = Math.max(this.#usualWriteMs, this.#slowMs);
    const hedgeMs = longestMs * HEDGE_FACTOR;
    return Math.min(LONGEST_HEDGE_MS, Math.max(LEAST_HEDGE_MS, hedgeMs));
  }

  /**
   * Time after which a write counts as lost. A slow store lets writes wait for up
   * to a second before it carries them out; to give one up that is on its way and
   * to send it again would only lengthen the queue.
   */
  get #writeLimitMs(): number {
    const slowMs = this.#slowMs * HEDGE_FACTOR;
    return Math.min(LONGEST_WRITE_MS, Math.max(CALL_MS, slowMs));
  }

  /** The slowest answer of late, whatever it was; 0 where there was none. */
  get #slowMs(): number {
    const { atMs, tookMs } = this.#slowest;
    const isRecent = this.#options.clock.monotonicMs() - atMs < SLOW_MEMORY_MS;
    return isRecent ? tookMs : 0;
  }

  /** Whether calls to a partition have failed and are not tried now. */
  isShut(partition: string): boolean {
    return this.#breaker(partition).isOpen();
  }

  /** The service answered a call, perhaps one made without this client. */
  noteAnswered(): void {
    const wasOut = this.silentForMs() >= OUTAGE_MS;
    this.#failingSinceMs = null;
    if (wasOut) this.#endOutage();
  }

  /** A call that was made without this client failed. */
  noteFailed(): void {
    this.#failingSinceMs ??= this.#options.clock.monotonicMs();
  }

  /** Time for which calls have failed; 0 while the last one was answered. */
  silentForMs(): number {
    const sinceMs = this.#failingSinceMs;
    return sinceMs === null ? 0 : this.#options.clock.monotonicMs() - sinceMs;
  }

  /** An answer took this long, in ms; perhaps one to a call made without us. */
  noteDelay(tookMs: number): void {
    if (tookMs < this.#slowMs) return;
    this.#slowest = { atMs: this.#options.clock.monotonicMs(), tookMs };
  }

  /** Whoever waits for the next try need not wait any longer. */
  #endOutage(): void {
    for (const breaker of this.#breakers.values()) breaker.allowTrial();
    Deferred.doneUnsafe(this.#back, Effect.void);
    this.#back = Deferred.makeUnsafe<void>();
  }

  /** Ends when the service answers again after an outage. */
  awaitBack(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#back));
  }

  /** The pause before the next try; the end of an outage ends it. */
  #pause(backoffMs: number): Effect.Effect<void> {
    const { clock, random } = this.#options;
    const slept = clock.sleep(random.jitter(backoffMs));
    return Effect.raceFirst(slept, this.awaitBack());
  }

  /** Reads rows; absent ones are left out. */
  read(
    rowKeys: readonly string[],
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<readonly Ports.Row[], StoreFailure> {
    const call = () => this.#options.table.read(rowKeys);
    const partition = keys.partitionIn(rowKeys[0] ?? "");
    return this.#retryRead({ operation: "read", partition }, call, deadlineMs);
  }

  /** Rows under a prefix that are newer than a revision. */
  scan(
    prefix: string,
    afterRevision = 0,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<readonly Ports.Row[], StoreFailure> {
    const call = () => this.#options.table.scan(prefix, afterRevision);
    const partition = keys.partitionIn(prefix);
    return this.#retryRead({ operation: "scan", partition }, call, deadlineMs);
  }

  /**
   * All rows under a prefix, page by page, however long that takes; fails where
   * no page has come for `quietMs`.
   */
  readAll(
    prefix: string,
    quietMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<readonly Ports.Row[], StoreFailure> {
    const { table, clock } = this.#options;
    const read = new pagedReads.PagedRead({
      clock,
      read: (ask) => table.scanPage(prefix, ask),
    });
    const partition = keys.partitionIn(prefix);
    const target = { operation: "scan", partition };
    return Effect.gen({ self: this }, function* () {
      for (;;) {
        // The read itself bounds a page; the bound of other calls is shorter.
        const page = () => read.step();
        const limitMs = pagedReads.PAGE_LIMIT_MS + CALL_MS;
        const isLast = yield* this.#retryRead(target, page, quietMs, limitMs);
        if (isLast) return read.items;
      }
    });
  }

  /** Writes; returns the revision. Unavailable means: perhaps written. */
  write(
    write: Write,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<number, StoreFailure | Errors.ConditionFailedError> {
    return Effect.catchTag(
      this.writeOrLearn(write, deadlineMs),
      "WriteRefusedError",
      (err) => unavailable("write", err.message),
    );
  }

  /** The same for whoever can do something about a write that is refused. */
  writeOrLearn(
    write: Write,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Effect.Effect<number, WriteFailure> {
    const writeId = write.writeId ?? this.#options.random.id();
    const tx = { ...write, writeId };
    return this.#writeUntil(tx, deadlineMs);
  }

  #writeUntil(
    tx: Ports.Transaction,
    deadlineMs: number,
  ): Effect.Effect<number, WriteFailure> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const endMs = clock.monotonicMs() + deadlineMs;
      let backoffMs = FIRST_BACKOFF_MS;
      let mayHaveLanded = false;
      for (;;) {
        yield* this.#takeToken(endMs);
        const tried = yield* this.#tryWrite(tx);
        if (tried.kind === "written") return tried.revision;
        if (tried.kind === "refused" && !mayHaveLanded) return yield* tried.err;
        mayHaveLanded ||= tried.kind === "lost";
        if (mayHaveLanded) {
          const landed = yield* this.#findWrite(tx);
          if (landed !== null) return landed;
          if (tried.kind === "refused") return yield* tried.err;
        }
        if (clock.monotonicMs() + backoffMs > endMs) {
          return yield* new Errors.StoreUnavailableError({
            operation: "write",
            cause: "no answer before the deadline",
            perhapsDone: mayHaveLanded,
          });
        }
        yield* this.#pause(backoffMs);
        backoffMs = Math.min(backoffMs * 2, LONGEST_BACKOFF_MS);
      }
    });
  }

  #tryWrite(tx: Ports.Transaction): Effect.Effect<WriteTry> {
    const { table, metrics } = this.#options;
    metrics.count("cairngate_store_writes_total");
    const target = { operation: "write", partition: partitionOf(tx) };
    const limitMs = this.#writeLimitMs;
    return this.#timed(target, table.transact(tx), limitMs).pipe(
      Effect.map((revision): WriteTry => ({ kind: "written", revision })),
      Effect.catchTags({
        ConditionFailedError: (err) =>
          Effect.succeed<WriteTry>({ kind: "refused", err }),
        WriteRefusedError: (err) =>
          Effect.succeed<WriteTry>({ kind: "refused", err }),
        AnswerLostError: () => Effect.succeed<WriteTry>({ kind: "lost" }),
        StoreUnavailableError: () => Effect.succeed<WriteTry>({ kind: "down" }),
      }),
    );
  }

  /** Revision of the transaction if its rows show that it took effect. */
  #findWrite(tx: Ports.Transaction): Effect.Effect<number | null> {
    const kept = tx.writes.filter((w) => w.value !== null);
    const call = this.#options.table.read(kept.map((w) => w.key));
    this.#options.metrics.count("cairngate_store_lost_answers_total");
    const target = { operation: "read", partition: partitionOf(tx) };
    return this.#timed(target, call).pipe(
      Effect.map((rows) => {
        const own = rows.find((row) => row.writeId === tx.writeId);
        return own?.revision ?? null;
      }),
      Effect.catch(() => Effect.succeed(null)),
    );
  }

  #retryRead<A>(
    target: Target,
    call: () => Effect.Effect<A, Ports.StoreError>,
    deadlineMs: number,
    callMs = CALL_MS,
  ): Effect.Effect<A, StoreFailure> {
    const { clock, metrics } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const endMs = clock.monotonicMs() + deadlineMs;
      let backoffMs = FIRST_BACKOFF_MS;
      for (;;) {
        metrics.count("cairngate_store_reads_total");
        const rows = yield* this.#timed(target, call(), callMs).pipe(
          Effect.catch(() => Effect.succeed(null)),
        );
        if (rows !== null) return rows;
        if (clock.monotonicMs() + backoffMs > endMs) {
          const cause = "no answer before the deadline";
          return yield* unavailable(target.operation, cause);
        }
        yield* this.#pause(backoffMs);
        backoffMs = Math.min(backoffMs * 2, LONGEST_BACKOFF_MS);
      }
    });
  }

  /** One call with a deadline, counted and watched by the circuit breaker. */
  #timed<A, E extends { readonly _tag: string }>(
    { operation, partition }: Target,
    call: Effect.Effect<A, E>,
    limitMs = CALL_MS,
  ): Effect.Effect<A, E | Errors.AnswerLostError | StoreFailure> {
    const { clock, metrics } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const breaker = this.#breaker(partition);
      if (breaker.isOpen()) {
        return yield* unavailable(operation, "it failed several times lately");
      }
      const startMs = clock.monotonicMs();
      const noteTime = () => {
        const isWrite = operation === "write";
        if (isWrite) this.noteDelay(clock.monotonicMs() - startMs);
      };
      const timed = yield* clock.within(limitMs, call).pipe(
        Effect.tapError((err) =>
          Effect.sync(() => {
            noteTime();
            if (!isAnswer(err._tag)) this.#failed(breaker);
          })
        ),
      );
      if (timed === null) {
        this.#failed(breaker);
        return yield* new Errors.AnswerLostError({ operation });
      }
      noteTime();
      breaker.succeeded();
      this.noteAnswered();
      const tookMs = clock.monotonicMs() - startMs;
      if (operation === "write") this.#noteWriteTime(tookMs);
      metrics.observeMs(`cairngate_store_${operation}_seconds`, tookMs);
      return timed.value;
    });
  }

  #failed(breaker: breakers.CircuitBreaker): void {
    breaker.failed();
    this.noteFailed();
  }

  #noteWriteTime(tookMs: number): void {
    const before = this.#usualWriteMs;
    this.#usualWriteMs = before + (tookMs - before) * NEWEST_WEIGHT;
  }

  #breaker(partition: string): breakers.CircuitBreaker {
    const known = this.#breakers.get(partition);
    if (known !== undefined) return known;
    const made = new breakers.CircuitBreaker(this.#options.clock);
    this.#breakers.set(partition, made);
    return made;
  }

  /** Waits for the write budget; fails when the wait passes the deadline. */
  #takeToken(endMs: number): Effect.Effect<void, StoreFailure> {
    const { clock, writesPerSecond } = this.#options;
    const nowMs = clock.monotonicMs();
    const gained = (nowMs - this.#tokensAtMs) / 1000 * writesPerSecond;
    const most = writesPerSecond * BURST_SECONDS;
    this.#tokens = Math.min(most, this.#tokens + gained) - 1;
    this.#tokensAtMs = nowMs;
    if (this.#tokens >= 0) return Effect.void;
    const waitMs = -this.#tokens / writesPerSecond * 1000;
    if (nowMs + waitMs <= endMs) return clock.sleep(waitMs);
    this.#tokens++;
    return unavailable("write", "the write budget of this box is used up");
  }
}

/** What a call does, and to which partition. */
interface Target {
  readonly operation: string;
  readonly partition: string;
}

type WriteTry =
  | { readonly kind: "written"; readonly revision: number }
  | {
    readonly kind: "refused";
    readonly err: Errors.ConditionFailedError | Errors.WriteRefusedError;
  }
  | { readonly kind: "lost" }
  | { readonly kind: "down" };

/** Errors that the service itself has answered with. */
function isAnswer(tag: string): boolean {
  return tag === "ConditionFailedError" || tag === "WriteRefusedError";
}

/** A transaction stays within one partition. */
function partitionOf({ writes, conditions }: Ports.Transaction): string {
  return keys.partitionIn((writes[0] ?? conditions[0])?.key ?? "");
}

function unavailable(
  operation: string,
  cause: string,
): Effect.Effect<never, StoreFailure> {
  return Effect.fail(new Errors.StoreUnavailableError({ operation, cause }));
}
