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
const QUIET_MS = 3_600_000;
/** Pause before a partition is tried again, in ms. */
const RETRY_MS = 60;
/** Time between two checks of whether enough is open, in ms. */
const LOOK_MS = 5;
/** Partitions not open by then, in ms, are waited for beside the work. */
const PATIENCE_MS = 700;

/** A record of an earlier coordinator. */
export interface FoundProgress {
  readonly partition: string;
  readonly row: Ports.Row;
}

/** Recovery of one term. */
export class Recovery {
  readonly #ports: ports.CoordinatorPorts;
  readonly #term: terms.Term;
  readonly #fences: fences.PartitionFences;
  readonly #open = new Set<string>();
  readonly #progress = new Map<string, FoundProgress>();
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
    return this.#open.has(partition);
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
  complete(): void {
    this.#progress.clear();
    Deferred.doneUnsafe(this.#complete, Effect.void);
  }

  /** What earlier coordinators recorded of a workflow; null for nothing. */
  progressOf(id: string): FoundProgress | null {
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
      (partition) => this.#openOne(partition),
      { concurrency: "unbounded", discard: true },
    );
  }

  /** Ends when all partitions are open, or some are and time is up. */
  awaitUsable(): Effect.Effect<void> {
    const { clock } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      const patientUntilMs = clock.monotonicMs() + PATIENCE_MS;
      while (this.#open.size < TableClient.Keys.PARTITIONS.length) {
        const isLate = clock.monotonicMs() >= patientUntilMs;
        if (isLate && this.#open.size > 0) return;
        yield* clock.sleep(LOOK_MS);
      }
    });
  }

  /** Records can be read only once no earlier coordinator writes any more. */
  #openOne(partition: string): Effect.Effect<void> {
    return Effect.andThen(
      this.#untilDone(this.#fences.take(partition)),
      this.#untilDone(this.#readRecords(partition)),
    );
  }

  /** Tries again until it is done or the term is lost. */
  #untilDone(attempt: Effect.Effect<boolean>): Effect.Effect<void> {
    const { clock } = this.#ports;
    return Effect.gen({ self: this }, function* () {
      while (!this.#term.isLost) {
        if (yield* attempt) return;
        yield* clock.sleep(RETRY_MS);
      }
    });
  }

  /** False where the store fell silent; what had come is read again then. */
  #readRecords(partition: string): Effect.Effect<boolean> {
    const { store, log } = this.#ports;
    const prefix = TableClient.Keys.progressPrefix(partition);
    return store.readAll(prefix, QUIET_MS).pipe(
      Effect.map((rows) => {
        for (const row of rows) {
          const id = row.key.slice(prefix.length);
          if (row.value === undefined) this.#unreadable.add(id);
          else this.#progress.set(id, { partition, row });
        }
        this.#open.add(partition);
        return true;
      }),
      Effect.catch((err) => {
        log.info(`Partition ${partition} is not read yet: ${err.message}`);
        return Effect.succeed(false);
      }),
    );
  }
}
