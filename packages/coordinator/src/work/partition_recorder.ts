/**
 * Writes the progress of the workflows of one partition. Changes made while a write is
 * in flight go into the next one. An order is sent only after the write that records
 * it has succeeded.
 */
import type * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import type * as Workflow from "@cairngate/workflow";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as intake from "./intake.ts";
import type * as terms from "../election/term.ts";
import type * as fences from "./partition_fences.ts";
import type * as ports from "../ports.ts";
import * as progress from "./progress_rows.ts";

/**
 * A transaction holds at most 100 entries. Each workflow takes up to four (two
 * conditions and two rows, or one and three), and the fence takes one more.
 */
const MAX_WORKFLOWS_PER_WRITE = 24;
/** Longer than any term: a write is retried until the term ends. */
const WRITE_TIMEOUT_MS = 3_600_000;
/**
 * Workflows of the partition start nothing while a write has taken longer than this. A
 * store that is merely slow, with writes of half a second, stays below it.
 */
const STALL_THRESHOLD_MS = 1000;
/**
 * Longest time for which a change waits for another write, in ms. Counts of waiting
 * workflows may be 2 s old, and boxes reuse theirs for one of them.
 */
const MAX_DEFERRAL_MS = 800;

/** Dependencies of a `PartitionRecorder`. */
export interface PartitionRecorderOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly fences: fences.PartitionFences;
  readonly partition: string;
  /** Called for a cancel request that a write meets before the feed delivers it. */
  readonly onCancelled: (request: intake.CancelRequest) => void;
}

/** Batches the progress writes of one partition. */
export class PartitionRecorder {
  readonly #options: PartitionRecorderOptions;
  readonly #dirty = new Set<Workflow.Workflow>();
  /** Changed workflows that nothing waits for; written with others. */
  readonly #deferred = new Set<Workflow.Workflow>();
  /** Workflows whose row in the table of waiting workflows may still exist. */
  readonly #withWaitingRow = new Set<Workflow.Workflow>();
  /** Ended workflows whose stored spec no longer holds their work. */
  readonly #trimmed = new Set<Workflow.Workflow>();
  /** Workflows whose progress record the store rejects. */
  readonly #rejected = new Set<Workflow.Workflow>();
  /** Completed when the changes that are collected now are written. */
  #batchWritten = Deferred.makeUnsafe<void>();
  #signal = Deferred.makeUnsafe<void>();
  /** Revision of the progress row, where there is one. */
  readonly #revisions = new Map<Workflow.Workflow, number>();
  /** Workflows whose cancel request a failed write has revealed. */
  readonly #reportedCancels = new Set<Workflow.Workflow>();
  #writingSinceMs: number | null = null;

  constructor(options: PartitionRecorderOptions) {
    this.#options = options;
  }

  /** Whether a write takes so long that new orders would be held back. */
  get isStalled(): boolean {
    const sinceMs = this.#writingSinceMs;
    return sinceMs !== null &&
      this.#options.ports.clock.monotonicMs() - sinceMs > STALL_THRESHOLD_MS;
  }

  /** Whether the store rejects the progress record of a workflow. */
  isRejected(workflow: Workflow.Workflow): boolean {
    return this.#rejected.has(workflow);
  }

  /** Tracks a workflow; `revision` is that of its progress row, 0 for none. */
  track(workflow: Workflow.Workflow, revision: number): void {
    this.#withWaitingRow.add(workflow);
    if (revision > 0) this.#revisions.set(workflow, revision);
  }

  /** Drops the state of a workflow whose rows have been removed. */
  untrack(workflow: Workflow.Workflow): void {
    this.#deferred.delete(workflow);
    this.#withWaitingRow.delete(workflow);
    this.#trimmed.delete(workflow);
    this.#rejected.delete(workflow);
    this.#revisions.delete(workflow);
    this.#reportedCancels.delete(workflow);
  }

  /** Schedules a write of a changed workflow; the effect ends once it is written. */
  record(workflow: Workflow.Workflow): Effect.Effect<void> {
    this.#dirty.add(workflow);
    const written = this.#batchWritten;
    Deferred.doneUnsafe(this.#signal, Effect.void);
    const recorded = Deferred.await(written);
    // Orders of a workflow whose record was rejected must not be sent.
    return Effect.flatMap(
      recorded,
      () => this.#rejected.has(workflow) ? Effect.never : Effect.void,
    );
  }

  /**
   * Leaves a changed workflow to the next write of the partition, or writes it alone
   * where there is none in time.
   */
  recordSoon(workflow: Workflow.Workflow): void {
    const isFirst = this.#deferred.size === 0;
    this.#deferred.add(workflow);
    if (!isFirst) return;
    const flush = Effect.sync(() => this.#flushDeferred());
    const { clock } = this.#options.ports;
    Effect.runFork(Effect.andThen(clock.sleep(MAX_DEFERRAL_MS), flush));
  }

  #flushDeferred(): void {
    if (this.#deferred.size === 0) return;
    for (const workflow of this.#deferred) this.#dirty.add(workflow);
    this.#deferred.clear();
    Deferred.doneUnsafe(this.#signal, Effect.void);
  }

  /** Writes changes until interrupted. */
  run(): Effect.Effect<never> {
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Deferred.await(this.#signal);
      this.#signal = Deferred.makeUnsafe<void>();
      while (this.#dirty.size > 0) yield* this.#writeAll();
    }));
  }

  #writeAll(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const batch = this.#takeBatch();
      const written = this.#batchWritten;
      this.#batchWritten = Deferred.makeUnsafe<void>();
      for (
        let offset = 0;
        offset < batch.length;
        offset += MAX_WORKFLOWS_PER_WRITE
      ) {
        yield* this.#write(
          batch.slice(offset, offset + MAX_WORKFLOWS_PER_WRITE),
        );
      }
      Deferred.doneUnsafe(written, Effect.void);
    });
  }

  /** Takes all changes that orders wait for, and others that fit into the same writes. */
  #takeBatch(): Workflow.Workflow[] {
    const batch = [...this.#dirty];
    this.#dirty.clear();
    for (const workflow of batch) this.#deferred.delete(workflow);
    for (const workflow of this.#deferred) {
      if (batch.length % MAX_WORKFLOWS_PER_WRITE === 0) break;
      batch.push(workflow);
      this.#deferred.delete(workflow);
    }
    return batch;
  }

  /**
   * Writes one transaction under one write id and retries it until its outcome is
   * known, because a write that the store applies late must not overwrite a later one.
   * It fails if a cancel request exists, so that no start is recorded after a cancel.
   */
  #write(batch: readonly Workflow.Workflow[]): Effect.Effect<void> {
    const { ports: { store, clock }, term, fences, partition } = this.#options;
    const write = {
      conditions: [
        fences.condition(partition),
        ...batch.map((workflow) => this.#conditionOf(workflow)),
        ...this.#cancelConditions(batch),
      ],
      writes: batch.flatMap((workflow) => this.#rowsOf(workflow)),
    };
    // Evaluated now, because a workflow may change while the write is in flight.
    const notWaiting = batch.filter((workflow) =>
      !progress.isWaiting(workflow)
    );
    const settled = batch.filter(progress.isSettled);
    this.#writingSinceMs = clock.monotonicMs();
    return store.writeReportingRefusal(write, WRITE_TIMEOUT_MS).pipe(
      Effect.map((revision) => {
        this.#writingSinceMs = null;
        for (const workflow of batch) {
          this.#revisions.set(workflow, revision);
          this.#rejected.delete(workflow);
        }
        for (const workflow of notWaiting) {
          this.#withWaitingRow.delete(workflow);
        }
        for (const workflow of settled) this.#trimmed.add(workflow);
      }),
      Effect.catch((err) => {
        const isCancel = err._tag === "ConditionFailedError" &&
          this.#reportCancel(batch, err.key);
        if (isCancel) return this.#write(batch);
        if (err._tag === "WriteRefusedError") return this.#isolate(batch, err);
        term.lose(err.message);
        return Effect.never;
      }),
    );
  }

  /**
   * Handles a write that the store rejects for good. Each workflow of the batch is
   * written alone, so that one with a bad record does not block the others; one that
   * is rejected alone starts nothing until a later write of it succeeds.
   */
  #isolate(
    batch: readonly Workflow.Workflow[],
    err: Errors.WriteRefusedError,
  ): Effect.Effect<void> {
    const [first] = batch;
    if (batch.length > 1) {
      return Effect.forEach(batch, (workflow) => this.#write([workflow]), {
        discard: true,
      });
    }
    const { log, metrics } = this.#options.ports;
    this.#writingSinceMs = null;
    this.#rejected.add(first);
    metrics.count("cairngate_records_refused_total");
    log.error(
      `The store rejects the record of workflow ${first.spec.id}: ${err.message}`,
    );
    return Effect.void;
  }

  /** Conditions that workflows which may still start tasks have no cancel request. */
  #cancelConditions(
    batch: readonly Workflow.Workflow[],
  ): Ports.RowCondition[] {
    return batch
      .filter((workflow) =>
        !workflow.isOver && !this.#reportedCancels.has(workflow)
      )
      .map((workflow) => ({ key: this.#cancelKeyOf(workflow), revision: 0 }));
  }

  /** Reports the cancel request behind a failed condition; false for other keys. */
  #reportCancel(batch: readonly Workflow.Workflow[], key: string): boolean {
    const found = batch.find((workflow) => this.#cancelKeyOf(workflow) === key);
    if (found === undefined) return false;
    this.#reportedCancels.add(found);
    const { partition, onCancelled, ports: { metrics } } = this.#options;
    metrics.count("cairngate_cancels_before_feed_total");
    onCancelled({ id: found.spec.id, partition });
    return true;
  }

  #conditionOf(workflow: Workflow.Workflow): Ports.RowCondition {
    const revision = this.#revisions.get(workflow) ?? 0;
    return { key: this.#keyOf(workflow), revision };
  }

  #rowsOf(workflow: Workflow.Workflow): Ports.RowWrite[] {
    return progress.progressRows(workflow, {
      partition: this.#options.partition,
      hasWaitingRow: this.#withWaitingRow.has(workflow),
      isTrimmed: this.#trimmed.has(workflow),
    });
  }

  #cancelKeyOf(workflow: Workflow.Workflow): string {
    const { partition } = this.#options;
    return TableClient.Keys.cancelKey(partition, workflow.spec.id);
  }

  #keyOf(workflow: Workflow.Workflow): string {
    const { partition } = this.#options;
    return TableClient.Keys.progressKey(partition, workflow.spec.id);
  }
}
