/**
 * Writes the progress of one partition's workflows. Whatever changed while a
 * write is on its way goes into the next one; orders wait for the write that
 * carries them.
 */
import type * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as intake from "./intake.ts";
import type * as terms from "../election/term.ts";
import type * as fences from "./partition_fences.ts";
import type * as ports from "../ports.ts";

/**
 * Workflows in one transaction; each takes up to four of its 100 entries: two
 * conditions and two rows, or one and three. The fence takes one more.
 */
const MAX_WORKFLOWS_PER_WRITE = 24;
/** A write is given up only with the term. */
const WRITE_TIMEOUT_MS = 3_600_000;
/**
 * A write that takes longer holds up further plans; a store that is merely slow,
 * with writes of half a second, does not.
 */
const STALL_THRESHOLD_MS = 1000;

/** What a recorder of one partition needs. */
export interface PartitionRecorderOptions {
  readonly ports: ports.CoordinatorPorts;
  readonly term: terms.Term;
  readonly fences: fences.PartitionFences;
  readonly partition: string;
  /** Told of a cancel that the store shows before the feed does. */
  readonly onCancelled: (request: intake.CancelRequest) => void;
}

/** Groups records of one partition. */
export class PartitionRecorder {
  readonly #options: PartitionRecorderOptions;
  readonly #dirty = new Set<Workflow.Workflow>();
  /** Workflows whose mark of waiting may still be there. */
  readonly #withWaitingRow = new Set<Workflow.Workflow>();
  /** Ended workflows whose work is dropped from the rows. */
  readonly #trimmed = new Set<Workflow.Workflow>();
  /** Workflows whose record the store does not take. */
  readonly #rejected = new Set<Workflow.Workflow>();
  #batchWritten = Deferred.makeUnsafe<void>();
  #signal = Deferred.makeUnsafe<void>();
  /** Revision of each progress row that exists. */
  readonly #revisions = new Map<Workflow.Workflow, number>();
  /** Workflows whose cancel a refused write has shown. */
  readonly #reportedCancels = new Set<Workflow.Workflow>();
  #writingSinceMs: number | null = null;

  constructor(options: PartitionRecorderOptions) {
    this.#options = options;
  }

  /** Whether a write hangs, so that orders would not leave. */
  get isStalled(): boolean {
    const sinceMs = this.#writingSinceMs;
    return sinceMs !== null &&
      this.#options.ports.clock.monotonicMs() - sinceMs > STALL_THRESHOLD_MS;
  }

  /** Whether the store takes no record of this workflow. */
  isRejected(workflow: Workflow.Workflow): boolean {
    return this.#rejected.has(workflow);
  }

  /** Takes in a workflow whose progress has this revision; 0 for none. */
  track(workflow: Workflow.Workflow, revision: number): void {
    this.#withWaitingRow.add(workflow);
    if (revision > 0) this.#revisions.set(workflow, revision);
  }

  /** Drops what is known of a workflow that has been swept away. */
  untrack(workflow: Workflow.Workflow): void {
    this.#withWaitingRow.delete(workflow);
    this.#trimmed.delete(workflow);
    this.#rejected.delete(workflow);
    this.#revisions.delete(workflow);
    this.#reportedCancels.delete(workflow);
  }

  /** A workflow has changed; the effect ends when that is written. */
  record(workflow: Workflow.Workflow): Effect.Effect<void> {
    this.#dirty.add(workflow);
    const written = this.#batchWritten;
    Deferred.doneUnsafe(this.#signal, Effect.void);
    const recorded = Deferred.await(written);
    // Orders of a workflow that is not recorded must not leave.
    return Effect.flatMap(
      recorded,
      () => this.#rejected.has(workflow) ? Effect.never : Effect.void,
    );
  }

  /** Writes for ever. */
  run(): Effect.Effect<never> {
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Deferred.await(this.#signal);
      this.#signal = Deferred.makeUnsafe<void>();
      while (this.#dirty.size > 0) yield* this.#writeAll();
    }));
  }

  #writeAll(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const batch = [...this.#dirty];
      this.#dirty.clear();
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

  /**
   * One transaction under one id, tried until its fate is known: a write that
   * the store carries out late must not undo a later one. It holds only while no
   * cancel lies beside the records, so that no start is recorded after one.
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
    // A workflow may change again while the write is on its way.
    const started = batch.filter(hasStarted);
    const settled = batch.filter(isSettled);
    this.#writingSinceMs = clock.monotonicMs();
    return store.writeOrLearn(write, WRITE_TIMEOUT_MS).pipe(
      Effect.map((revision) => {
        this.#writingSinceMs = null;
        for (const workflow of batch) {
          this.#revisions.set(workflow, revision);
          this.#rejected.delete(workflow);
        }
        for (const workflow of started) this.#withWaitingRow.delete(workflow);
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
   * The store takes no such write, ever. One workflow must not hold up those
   * beside it: each is written alone, and what is refused alone goes no further.
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
    log.error(`Workflow ${first.spec.id} can not go on: ${err.message}`);
    return Effect.void;
  }

  /** Conditions that no cancel lies beside what may still start. */
  #cancelConditions(
    batch: readonly Workflow.Workflow[],
  ): Ports.RowCondition[] {
    return batch
      .filter((workflow) =>
        !workflow.isOver && !this.#reportedCancels.has(workflow)
      )
      .map((workflow) => ({ key: this.#cancelKeyOf(workflow), revision: 0 }));
  }

  /** Passes a cancel on that refused a write; false where none did. */
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
    const { spec: { id, policy } } = workflow;
    const key = this.#keyOf(workflow);
    const rows = [{ key, value: Workflow.toProgress(workflow) as unknown }];
    if (hasStarted(workflow) && this.#withWaitingRow.has(workflow)) {
      const { partition } = this.#options;
      const waitingKey = TableClient.Keys.waitingKey(
        partition,
        policy.queue,
        id,
      );
      rows.push({ key: waitingKey, value: null });
    }
    if (isSettled(workflow) && !this.#trimmed.has(workflow)) {
      const { partition } = this.#options;
      const specKey = TableClient.Keys.workflowKey(partition, id);
      rows.push({ key: specKey, value: Workflow.withoutWork(workflow.spec) });
    }
    return rows;
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

function hasStarted(workflow: Workflow.Workflow): boolean {
  return workflow.state !== Workflow.WorkflowState.Queued;
}

/** Whether it has ended and nothing of it is still to be stopped. */
function isSettled(workflow: Workflow.Workflow): boolean {
  return Workflow.isFinal(workflow.state) &&
    workflow.placedTasks().length === 0;
}
