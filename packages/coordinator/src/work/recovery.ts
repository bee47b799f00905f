/**
 * Reads the progress that earlier coordinators recorded, partition by partition. An
 * unavailable partition delays only its own workflows, and those operations that
 * require all records.
 */
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as terms from "../election/term.ts";
import type * as fences from "./partition_fences.ts";
import type * as ports from "../ports.ts";

/**
 * Longer than any term: a read need not start over, because the fence keeps earlier
 * coordinators from changing pages that were already read.
 */
const READ_TIMEOUT_MS = 3_600_000;
/** Delay before the next attempt on a partition. */
const RETRY_DELAY_MS = 60;
/** Interval at which the number of open partitions is checked. */
const POLL_INTERVAL_MS = 5;
/** Work starts after this time; the remaining partitions open meanwhile. */
const MAX_OPEN_WAIT_MS = 700;

/** Progress that an earlier coordinator recorded. */
export interface RecordedProgress {
  readonly partition: string;
  readonly revision: number;
  readonly record: Workflow.ProgressRecord;
}

/** Recovery of the state of earlier terms; one instance for each term. */
export class Recovery {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: terms.Term;
  readonly #fences: fences.PartitionFences;
  readonly #openPartitions = new Set<string>();
  readonly #progress = new Map<string, RecordedProgress>();
  /** Ids of workflows whose progress row was overwritten by another writer. */
  readonly #unreadable = new Set<string>();
  readonly #complete = Deferred.makeUnsafe<void>();

  constructor(
    coordinatorPorts: ports.CoordinatorPorts,
    term: terms.Term,
    partitionFences: fences.PartitionFences,
  ) {
    this.#ports = coordinatorPorts;
    this.#term = term;
    this.#fences = partitionFences;
  }

  /** Whether a partition is fenced and its progress has been read. */
  isOpen(partition: string): boolean {
    return this.#openPartitions.has(partition);
  }

  /** Whether all records of earlier coordinators are known. */
  get isComplete(): boolean {
    return Deferred.isDoneUnsafe(this.#complete);
  }

  /** Ends when all records of earlier coordinators are known. */
  awaitComplete(): Effect.Effect<void> {
    return Deferred.await(this.#complete);
  }

  /** Marks that every row of every partition has been applied. */
  markComplete(): void {
    this.#progress.clear();
    Deferred.doneUnsafe(this.#complete, Effect.void);
  }

  /** Recorded progress of a workflow; null where there is none. */
  progressOf(id: string): RecordedProgress | null {
    return this.#progress.get(id) ?? null;
  }

  /** Whether the progress row of a workflow exists but can't be decoded. */
  isUnreadable(id: string): boolean {
    return this.#unreadable.has(id);
  }

  /** Opens all partitions; retries unavailable ones until the term is lost. */
  openAll(): Effect.Effect<void> {
    return Effect.forEach(
      TableClient.Keys.PARTITIONS,
      (partition) => this.#openPartition(partition),
      { concurrency: "unbounded", discard: true },
    );
  }

  /** Ends once all partitions are open, or some are and the time limit is over. */
  awaitUsable(): Effect.Effect<void> {
    const { clock } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      const waitUntilMs = clock.monotonicMs() + MAX_OPEN_WAIT_MS;
      while (this.#openPartitions.size < TableClient.Keys.PARTITIONS.length) {
        const isLate = clock.monotonicMs() >= waitUntilMs;
        if (isLate && this.#openPartitions.size > 0) return;
        yield* clock.sleep(POLL_INTERVAL_MS);
      }
    });
  }

  /** Fences a partition before reading it, so that no earlier coordinator writes. */
  #openPartition(partition: string): Effect.Effect<void> {
    return Effect.andThen(
      this.#retryUntilDone(this.#fences.acquire(partition)),
      this.#retryUntilDone(this.#readRecords(partition)),
    );
  }

  /** Retries until the attempt succeeds or the term is lost. */
  #retryUntilDone(attempt: Effect.Effect<boolean>): Effect.Effect<void> {
    const { clock } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      while (!this.#term.isLost) {
        if (yield* attempt) return;
        yield* clock.sleep(RETRY_DELAY_MS);
      }
    });
  }

  /** Reads all progress rows of a partition; false where it has to be read again. */
  #readRecords(partition: string): Effect.Effect<boolean> {
    const { store, log } = this.#ports;
    const prefix = TableClient.Keys.progressPrefix(partition);
    return store.readAll(prefix, READ_TIMEOUT_MS).pipe(
      Effect.map((rows) => {
        for (const row of rows) {
          const id = row.key.slice(prefix.length);
          const { value, revision } = row;
          const record = Workflow.decodeProgress(value);
          if (record === null) this.#unreadable.add(id);
          else this.#progress.set(id, { partition, revision, record });
        }
        this.#openPartitions.add(partition);
        return true;
      }),
      Effect.catch((err) => {
        log.info(
          `Reading partition ${partition} failed and is retried: ${err.message}`,
        );
        return Effect.succeed(false);
      }),
    );
  }
}
