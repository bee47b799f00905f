/**
 * The rows that callers' requests read and write. A workflow is filed in its
 * home partition; where that does not answer, in another one, and it is looked
 * for in all of them.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as attempts from "./first_success.ts";

/** A workflow as its rows show it. */
export interface FoundWorkflow {
  readonly partition: string;
  readonly spec: Workflow.WorkflowSpec;
  /** Revision of the row of the spec. */
  readonly revision: number;
  /** Null while nothing is recorded. */
  readonly progress: Workflow.ProgressRecord | null;
  readonly isCancelled: boolean;
}

/** Where a workflow lies, as far as the store told. */
export interface Sight {
  /** Its home comes first. */
  readonly found: readonly FoundWorkflow[];
  /**
   * Why some partition is not known; null where all are, or where the home holds
   * the progress.
   */
  readonly failure: Errors.StoreUnavailableError | null;
}

/** A write of the store that a caller waits for ends within this time. */
const WRITE_LIMIT_MS = 450;
/** A read is not repeated after this time, in ms: callers wait for it. */
const READ_LIMIT_MS = 450;
/** A home partition is waited for at least this long, also where it is slow. */
const HOME_READ_LIMIT_MS = 400;
/** An answer is on its way to the caller for less than this, in ms. */
const ANSWER_MS = 50;
/** Partitions in which an acceptance is tried. */
const MOST_TRIED = 4;

/** Rows of workflows. */
export class WorkflowRows {
  readonly #store: TableClient.StoreClient;
  readonly #clock: Ports.Clock;

  constructor(options: {
    readonly store: TableClient.StoreClient;
    readonly clock: Ports.Clock;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
  }

  /**
   * Files a workflow in one partition at least; a second copy does no harm. An
   * error without `perhapsDone` proves that it is filed nowhere.
   * @param waitsMs how long the caller still waits: nothing is tried that takes
   * longer, and what has begun is answered before
   */
  file(
    spec: Workflow.WorkflowSpec,
    waitsMs = Number.POSITIVE_INFINITY,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const limitMs = waitsMs - ANSWER_MS;
    if (this.#store.usualWriteMs > limitMs) {
      const cause = "it takes longer than the caller waits";
      return unavailable(cause, false);
    }
    const filed = this.#fileSomewhere(spec);
    if (limitMs === Number.POSITIVE_INFINITY) return filed;
    return Effect.flatMap(this.#clock.within(limitMs, filed), (timed) => {
      if (timed !== null) return Effect.void;
      return unavailable("the caller waits no longer", true);
    });
  }

  #fileSomewhere(
    spec: Workflow.WorkflowSpec,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const endMs = this.#clock.monotonicMs() + WRITE_LIMIT_MS;
    const ways = this.#order(spec.id).slice(0, MOST_TRIED).map((partition) =>
      Effect.suspend(() => this.#fileIn(partition, spec, endMs))
    );
    return Effect.suspend(() => {
      const staggerMs = this.#store.hedgeMs;
      return attempts.firstSuccess(ways, { clock: this.#clock, staggerMs });
    }).pipe(Effect.mapError(joinFailures));
  }

  /** Marks it as cancelled where it was found; false where it has left. */
  mark(
    { partition, revision, spec: { id } }: FoundWorkflow,
  ): Effect.Effect<boolean, Errors.StoreUnavailableError> {
    const write = {
      conditions: [
        { key: TableClient.Keys.workflowKey(partition, id), revision },
      ],
      writes: [{
        key: TableClient.Keys.cancelKey(partition, id),
        value: this.#clock.wallMs(),
      }],
    };
    return this.#store.write(write, WRITE_LIMIT_MS).pipe(
      Effect.as(true),
      Effect.catchTag("ConditionFailedError", () => Effect.succeed(false)),
    );
  }

  /** Finds a workflow; null where the store says that there is none. */
  find(
    id: string,
  ): Effect.Effect<FoundWorkflow | null, Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const { found, failure } = yield* this.look(id);
      const best = found.find(({ progress }) => progress !== null) ?? found[0];
      if (best !== undefined) return best;
      return failure === null ? null : yield* failure;
    });
  }

  /** Looks for a workflow in all partitions that may matter. */
  look(
    id: string,
    homeLimitMs = HOME_READ_LIMIT_MS,
  ): Effect.Effect<Sight> {
    return Effect.gen({ self: this }, function* () {
      const [home, ...others] = this.#order(id);
      const homeMs = Math.max(homeLimitMs, this.#store.hedgeMs);
      const atHome = yield* Effect.result(
        this.#within(homeMs, this.#findIn(home, id)),
      );
      const first = atHome._tag === "Success" ? atHome.success : null;
      if (first !== null && first.progress !== null) {
        return { found: [first], failure: null };
      }
      const elsewhere = yield* Effect.forEach(
        others,
        (partition) => Effect.result(this.#findIn(partition, id)),
        { concurrency: "unbounded" },
      );
      const found: FoundWorkflow[] = [];
      let failure: Errors.StoreUnavailableError | null = null;
      for (const one of [atHome, ...elsewhere]) {
        if (one._tag === "Failure") failure ??= one.failure;
        else if (one.success !== null) found.push(one.success);
      }
      return { found, failure };
    });
  }

  /** Home first; partitions that have failed lately come last. */
  #order(id: string): readonly string[] {
    const all = TableClient.Keys.PARTITIONS;
    const at = all.indexOf(TableClient.Keys.homePartition(id));
    const fromHome = [...all.slice(at), ...all.slice(0, at)];
    const isShut = (partition: string) => this.#store.isShut(partition);
    return [
      ...fromHome.filter((partition) => !isShut(partition)),
      ...fromHome.filter(isShut),
    ];
  }

  #fileIn(
    partition: string,
    spec: Workflow.WorkflowSpec,
    endMs: number,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const { id, policy: { queue } } = spec;
    const key = TableClient.Keys.workflowKey(partition, id);
    const mark = TableClient.Keys.waitingKey(partition, queue, id);
    const write = {
      conditions: [{ key, revision: 0 }],
      writes: [{ key, value: spec }, { key: mark, value: 1 }],
    };
    const limitMs = endMs - this.#clock.monotonicMs();
    if (limitMs <= 0) return unavailable("no time is left", false);
    return this.#store.write(write, limitMs).pipe(
      Effect.asVoid,
      // The row is there: it was accepted before.
      Effect.catchTag("ConditionFailedError", () => Effect.void),
    );
  }

  /** A call that must not hang; a late one fails. */
  #within<A>(
    limitMs: number,
    call: Effect.Effect<A, Errors.StoreUnavailableError>,
  ): Effect.Effect<A, Errors.StoreUnavailableError> {
    return Effect.flatMap(this.#clock.within(limitMs, call), (timed) => {
      if (timed !== null) return Effect.succeed(timed.value);
      const cause = "no answer in time";
      return Effect.fail(
        new Errors.StoreUnavailableError({ operation: "read", cause }),
      );
    });
  }

  #findIn(
    partition: string,
    id: string,
  ): Effect.Effect<FoundWorkflow | null, Errors.StoreUnavailableError> {
    const prefix = TableClient.Keys.intakePrefix(partition, id);
    return Effect.gen({ self: this }, function* () {
      const [rows, progress] = yield* Effect.all([
        this.#store.scan(prefix, 0, READ_LIMIT_MS),
        this.#readProgress(partition, id),
      ], { concurrency: "unbounded" });
      const byKey = new Map(rows.map((row) => [row.key, row]));
      const row = byKey.get(TableClient.Keys.workflowKey(partition, id));
      if (row === undefined) return null;
      if (row.value === undefined) {
        const cause = `somebody else has written over ${row.key}`;
        const operation = "read";
        return yield* new Errors.StoreUnavailableError({ operation, cause });
      }
      const spec = row.value as Workflow.WorkflowSpec;
      const cancelKey = TableClient.Keys.cancelKey(partition, id);
      const isCancelled = byKey.has(cancelKey);
      const { revision } = row;
      return { partition, spec, revision, progress, isCancelled };
    });
  }

  #readProgress(
    partition: string,
    id: string,
  ): Effect.Effect<
    Workflow.ProgressRecord | null,
    Errors.StoreUnavailableError
  > {
    const key = TableClient.Keys.progressKey(partition, id);
    return Effect.map(
      this.#store.read([key], READ_LIMIT_MS),
      ([row]) => (row?.value as Workflow.ProgressRecord | undefined) ?? null,
    );
  }
}

function unavailable(
  cause: string,
  perhapsDone: boolean,
): Effect.Effect<never, Errors.StoreUnavailableError> {
  const operation = "write";
  return Effect.fail(
    new Errors.StoreUnavailableError({ operation, cause, perhapsDone }),
  );
}

/** One failure for all: perhaps done where one of them was perhaps done. */
function joinFailures(
  failures: readonly Errors.StoreUnavailableError[],
): Errors.StoreUnavailableError {
  return failures.find(({ perhapsDone }) => perhapsDone === true) ??
    failures[0];
}
