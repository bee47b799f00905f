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
  /** Null while nothing is recorded. */
  readonly progress: Workflow.ProgressRecord | null;
  readonly isCancelled: boolean;
}

/** A write of the store that a caller waits for ends within this time. */
const WRITE_LIMIT_MS = 450;
/** A read is not repeated after this time, in ms: callers wait for it. */
const READ_LIMIT_MS = 450;
/** A home partition is waited for at least this long, also where it is slow. */
const HOME_READ_LIMIT_MS = 400;
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
   */
  file(
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

  /** Marks a workflow as cancelled. */
  cancel(
    { partition, spec: { id } }: FoundWorkflow,
  ): Effect.Effect<
    void,
    Errors.StoreUnavailableError | Errors.ConditionFailedError
  > {
    const key = TableClient.Keys.cancelKey(partition, id);
    const writes = [{ key, value: this.#clock.wallMs() }];
    const write = this.#store.write({ conditions: [], writes }, WRITE_LIMIT_MS);
    return Effect.asVoid(write);
  }

  /** Finds a workflow; null where the store says that there is none. */
  find(
    id: string,
  ): Effect.Effect<FoundWorkflow | null, Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const [home, ...others] = this.#order(id);
      const homeMs = Math.max(HOME_READ_LIMIT_MS, this.#store.hedgeMs);
      const atHome = yield* Effect.result(
        this.#within(homeMs, this.#findIn(home, id)),
      );
      const first = atHome._tag === "Success" ? atHome.success : null;
      if (first !== null && first.progress !== null) return first;
      const elsewhere = yield* Effect.forEach(
        others,
        (partition) => Effect.result(this.#findIn(partition, id)),
        { concurrency: "unbounded" },
      );
      const found = elsewhere.flatMap((one) =>
        one._tag === "Success" && one.success !== null ? [one.success] : []
      );
      const best = found.find(({ progress }) => progress !== null) ?? first ??
        found[0];
      if (best !== undefined) return best;
      const failed = [atHome, ...elsewhere].find((r) => r._tag === "Failure");
      return failed === undefined ? null : yield* failed.failure;
    });
  }

  /** What is recorded of a workflow by now. */
  readProgress(
    { partition, spec: { id } }: FoundWorkflow,
  ): Effect.Effect<
    Workflow.ProgressRecord | null,
    Errors.StoreUnavailableError
  > {
    return this.#readProgress(partition, id);
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
    const limitMs = Math.max(0, endMs - this.#clock.monotonicMs());
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
      const byKey = new Map(rows.map((row) => [row.key, row.value]));
      const specKey = TableClient.Keys.workflowKey(partition, id);
      const spec = byKey.get(specKey) as Workflow.WorkflowSpec | undefined;
      if (spec === undefined) return null;
      const cancelKey = TableClient.Keys.cancelKey(partition, id);
      return { partition, spec, progress, isCancelled: byKey.has(cancelKey) };
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

/** One failure for all: perhaps done where one of them was perhaps done. */
function joinFailures(
  failures: readonly Errors.StoreUnavailableError[],
): Errors.StoreUnavailableError {
  return failures.find(({ perhapsDone }) => perhapsDone === true) ??
    failures[0];
}
