/**
 * Reads back what earlier coordinators have recorded, partition by partition. A
 * partition that is away holds up only its own workflows, and whatever may not
 * happen before all records are known.
 */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as terms from "../election/term.ts";
import type * as fences from "./partition_fences.ts";
import type * as ports from "../ports.ts";

/**
 * A read goes on for as long as the term, in ms: its pages stay right, because
 * behind the fence no earlier coordinator writes any more.
 */
const READ_TIMEOUT_MS = 3_600_000;
/** Pause before a partition is tried again, in ms. */
const RETRY_DELAY_MS = 60;
/** Time between two checks of whether enough is open, in ms. */
const POLL_INTERVAL_MS = 5;
/** Partitions not open by then, in ms, are waited for beside the work. */
const MAX_OPEN_WAIT_MS = 700;

/** A record of an earlier coordinator. */
export interface RecordedProgress {
  readonly partition: string;
  readonly row: Ports.Row;
}

/** Recovery of one term. */
export class Recovery {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: terms.Term;
  readonly #fences: fences.PartitionFences;
  readonly #openPartitions = new Set<string>();
  readonly #progress = new Map<string, RecordedProgress>();
  /** Workflows whose records somebody else wrote over. */
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

  /** Whether a partition is fenced and its progress is read. */
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

  /** Every row of every partition has been taken in. */
  markComplete(): void {
    this.#progress.clear();
    Deferred.doneUnsafe(this.#complete, Effect.void);
  }

  /** What earlier coordinators recorded of a workflow; null for nothing. */
  progressOf(id: string): RecordedProgress | null {
    return this.#progress.get(id) ?? null;
  }

  /** Whether records of a workflow are there that nobody can read. */
  isUnreadable(id: string): boolean {
    return this.#unreadable.has(id);
  }

  /** Opens all partitions, however long some of them are away. */
  openAll(): Effect.Effect<void> {
    return Effect.forEach(
      TableClient.Keys.PARTITIONS,
      (partition) => this.#openPartition(partition),
      { concurrency: "unbounded", discard: true },
    );
  }

  /** Ends when all partitions are open, or some are and time is up. */
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

  /** Records can be read only once no earlier coordinator writes any more. */
  #openPartition(partition: string): Effect.Effect<void> {
    return Effect.andThen(
      this.#retryUntilDone(this.#fences.acquire(partition)),
      this.#retryUntilDone(this.#readRecords(partition)),
    );
  }

  /** Tries again until it is done or the term is lost. */
  #retryUntilDone(attempt: Effect.Effect<boolean>): Effect.Effect<void> {
    const { clock } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      while (!this.#term.isLost) {
        if (yield* attempt) return;
        yield* clock.sleep(RETRY_DELAY_MS);
      }
    });
  }

  /** False where the store fell silent; what had come is read again then. */
  #readRecords(partition: string): Effect.Effect<boolean> {
    const { store, log } = this.#ports;
    const prefix = TableClient.Keys.progressPrefix(partition);
    return store.readAll(prefix, READ_TIMEOUT_MS).pipe(
      Effect.map((rows) => {
        for (const row of rows) {
          const id = row.key.slice(prefix.length);
          if (row.value === undefined) this.#unreadable.add(id);
          else this.#progress.set(id, { partition, row });
        }
        this.#openPartitions.add(partition);
        return true;
      }),
      Effect.catch((err) => {
        log.info(`Partition ${partition} is not read yet: ${err.message}`);
        return Effect.succeed(false);
      }),
    );
  }
}
