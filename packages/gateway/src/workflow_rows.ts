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
import * as alternatives from "./first_success.ts";

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
export interface LookupResult {
  /** Its home comes first. */
  readonly copies: readonly FoundWorkflow[];
  /**
   * Why some partition is not known; null where all are, or where the home holds
   * the progress.
   */
  readonly failure: Errors.StoreUnavailableError | null;
}

/** A write of the store that a caller waits for ends within this time. */
const WRITE_TIMEOUT_MS = 450;
/** A read is not repeated after this time, in ms: callers wait for it. */
const READ_TIMEOUT_MS = 450;
/** A home partition is waited for at least this long, also where it is slow. */
const HOME_READ_TIMEOUT_MS = 400;
/** An answer is on its way to the caller for less than this, in ms. */
const RESPONSE_MARGIN_MS = 50;
/** Partitions in which an acceptance is tried. */
const MAX_PARTITIONS_TRIED = 4;

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
   * @param callerWaitMs how long the caller still waits: nothing is tried that takes
   * longer, and what has begun is answered before
   */
  insert(
    spec: Workflow.WorkflowSpec,
    callerWaitMs = Number.POSITIVE_INFINITY,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const timeoutMs = callerWaitMs - RESPONSE_MARGIN_MS;
    if (this.#store.usualWriteMs > timeoutMs) {
      const cause = "it takes longer than the caller waits";
      return unavailable(cause, false);
    }
    const inserted = this.#insertAnywhere(spec);
    if (timeoutMs === Number.POSITIVE_INFINITY) return inserted;
    return Effect.flatMap(this.#clock.within(timeoutMs, inserted), (timed) => {
      if (timed !== null) return Effect.void;
      return unavailable("the caller waits no longer", true);
    });
  }

  #insertAnywhere(
    spec: Workflow.WorkflowSpec,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const deadlineMs = this.#clock.monotonicMs() + WRITE_TIMEOUT_MS;
    const attempts = this.#partitionOrder(spec.id).slice(
      0,
      MAX_PARTITIONS_TRIED,
    ).map((partition) =>
      Effect.suspend(() => this.#insertInto(partition, spec, deadlineMs))
    );
    return Effect.suspend(() => {
      const staggerMs = this.#store.hedgeMs;
      return alternatives.firstSuccess(attempts, {
        clock: this.#clock,
        staggerMs,
      });
    }).pipe(Effect.mapError(mergeFailures));
  }

  /** Marks it as cancelled where it was found; false where it has left. */
  markCancelled(
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
    return this.#store.write(write, WRITE_TIMEOUT_MS).pipe(
      Effect.as(true),
      Effect.catchTag("ConditionFailedError", () => Effect.succeed(false)),
    );
  }

  /** Finds a workflow; null where the store says that there is none. */
  find(
    id: string,
  ): Effect.Effect<FoundWorkflow | null, Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const { copies, failure } = yield* this.lookUp(id);
      const best = copies.find(({ progress }) => progress !== null) ??
        copies[0];
      if (best !== undefined) return best;
      return failure === null ? null : yield* failure;
    });
  }

  /** Looks for a workflow in all partitions that may matter. */
  lookUp(
    id: string,
    homeTimeoutMs = HOME_READ_TIMEOUT_MS,
  ): Effect.Effect<LookupResult> {
    return Effect.gen({ self: this }, function* () {
      const [home, ...others] = this.#partitionOrder(id);
      const homeWaitMs = Math.max(homeTimeoutMs, this.#store.hedgeMs);
      const homeResult = yield* Effect.result(
        this.#within(homeWaitMs, this.#findIn(home, id)),
      );
      const homeCopy = homeResult._tag === "Success"
        ? homeResult.success
        : null;
      if (homeCopy !== null && homeCopy.progress !== null) {
        return { copies: [homeCopy], failure: null };
      }
      const otherResults = yield* Effect.forEach(
        others,
        (partition) => Effect.result(this.#findIn(partition, id)),
        { concurrency: "unbounded" },
      );
      const copies: FoundWorkflow[] = [];
      let failure: Errors.StoreUnavailableError | null = null;
      for (const result of [homeResult, ...otherResults]) {
        if (result._tag === "Failure") failure ??= result.failure;
        else if (result.success !== null) copies.push(result.success);
      }
      return { copies, failure };
    });
  }

  /** Home first; partitions that have failed lately come last. */
  #partitionOrder(id: string): readonly string[] {
    const all = TableClient.Keys.PARTITIONS;
    const start = all.indexOf(TableClient.Keys.homePartition(id));
    const fromHome = [...all.slice(start), ...all.slice(0, start)];
    const isShut = (partition: string) => this.#store.isShut(partition);
    return [
      ...fromHome.filter((partition) => !isShut(partition)),
      ...fromHome.filter(isShut),
    ];
  }

  #insertInto(
    partition: string,
    spec: Workflow.WorkflowSpec,
    deadlineMs: number,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const { id, policy: { queue } } = spec;
    const key = TableClient.Keys.workflowKey(partition, id);
    const waitingKey = TableClient.Keys.waitingKey(partition, queue, id);
    const write = {
      conditions: [{ key, revision: 0 }],
      writes: [{ key, value: spec }, { key: waitingKey, value: 1 }],
    };
    const timeoutMs = deadlineMs - this.#clock.monotonicMs();
    if (timeoutMs <= 0) return unavailable("no time is left", false);
    return this.#store.write(write, timeoutMs).pipe(
      Effect.asVoid,
      // The row is there: it was accepted before.
      Effect.catchTag("ConditionFailedError", () => Effect.void),
    );
  }

  /** A call that must not hang; a late one fails. */
  #within<A>(
    timeoutMs: number,
    call: Effect.Effect<A, Errors.StoreUnavailableError>,
  ): Effect.Effect<A, Errors.StoreUnavailableError> {
    return Effect.flatMap(this.#clock.within(timeoutMs, call), (timed) => {
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
        this.#store.scan(prefix, 0, READ_TIMEOUT_MS),
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
      this.#store.read([key], READ_TIMEOUT_MS),
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
function mergeFailures(
  failures: readonly Errors.StoreUnavailableError[],
): Errors.StoreUnavailableError {
  return failures.find(({ perhapsDone }) => perhapsDone === true) ??
    failures[0];
}
