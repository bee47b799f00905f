/**
 * The rows that callers' requests read and write. A workflow is stored in its home
 * partition or, where that does not answer, in another one. So it is looked up in
 * all partitions.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as alternatives from "./first_success.ts";

/** A copy of a workflow as its rows show it. */
export interface FoundWorkflow {
  readonly partition: string;
  readonly spec: Workflow.WorkflowSpec;
  /** Revision of the row with the spec. */
  readonly revision: number;
  /** Null before the coordinator has recorded any, and if it is unreadable. */
  readonly progress: Workflow.ProgressRecord | null;
  /** Whether another program has overwritten the progress. */
  readonly hasUnreadableProgress: boolean;
  readonly isCancelled: boolean;
}

/** The copies of a workflow in the partitions that could be read. */
export interface LookupResult {
  /** The copy in the home partition comes first. */
  readonly copies: readonly FoundWorkflow[];
  /**
   * Why a partition could not be read; null where all were read, or where the home
   * partition holds the progress.
   */
  readonly failure: Errors.StoreUnavailableError | null;
}

/** Timeout of a write that a caller waits for, in ms. */
const WRITE_TIMEOUT_MS = 450;
/** A failed read is not retried after this time, in ms, as callers wait for it. */
const READ_TIMEOUT_MS = 450;
/** Shortest timeout of a read in the home partition, in ms; a slow store raises it. */
const HOME_READ_TIMEOUT_MS = 400;
/** A response reaches the caller within this time, in ms. */
const RESPONSE_MARGIN_MS = 50;
/** Maximum number of partitions in which storing a workflow is tried. */
const MAX_PARTITIONS_TRIED = 4;

/** Reads and writes the rows of workflows. */
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
   * Stores a workflow in at least one partition; a second copy does no harm. An
   * error without `perhapsDone` proves that no partition holds it.
   * @param callerWaitMs how long the caller still waits, in ms: no write is tried that
   * usually takes longer, and a pending one fails in time for a response
   */
  insert(
    spec: Workflow.WorkflowSpec,
    callerWaitMs = Number.POSITIVE_INFINITY,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const timeoutMs = callerWaitMs - RESPONSE_MARGIN_MS;
    if (this.#store.averageWriteMs > timeoutMs) {
      const cause = "a write usually takes longer than the caller waits";
      return unavailable(cause, false);
    }
    const inserted = this.#insertAnywhere(spec);
    if (timeoutMs === Number.POSITIVE_INFINITY) return inserted;
    return Effect.flatMap(this.#clock.within(timeoutMs, inserted), (timed) => {
      if (timed !== null) return Effect.void;
      return unavailable("no answer before the caller's deadline", true);
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
      const staggerMs = this.#store.hedgeDelayMs;
      return alternatives.firstSuccess(attempts, {
        clock: this.#clock,
        staggerMs,
      });
    }).pipe(Effect.mapError(mergeFailures));
  }

  /**
   * Finds a workflow; null where all partitions were read and none holds it. Fails if
   * its progress is unreadable, because its state is unknown.
   */
  find(
    id: string,
  ): Effect.Effect<FoundWorkflow | null, Errors.StoreUnavailableError> {
    return Effect.gen({ self: this }, function* () {
      const { copies, failure } = yield* this.lookUp(id);
      const best = copies.find(({ progress }) => progress !== null) ??
        copies[0];
      if (best === undefined) return failure === null ? null : yield* failure;
      if (!best.hasUnreadableProgress) return best;
      const key = TableClient.Keys.progressKey(best.partition, id);
      return yield* overwritten(key);
    });
  }

  /**
   * Looks a workflow up in its home and, without progress there, in all others.
   * @param onAbsentAtHome runs after the home was read and does not hold it, before the
   * others are read; its failure counts as one of the lookup
   */
  lookUp(
    id: string,
    homeTimeoutMs = HOME_READ_TIMEOUT_MS,
    onAbsentAtHome: Effect.Effect<void, Errors.StoreUnavailableError> = Effect
      .void,
  ): Effect.Effect<LookupResult> {
    return Effect.gen({ self: this }, function* () {
      const [home, ...others] = this.#partitionOrder(id);
      const homeWaitMs = Math.max(homeTimeoutMs, this.#store.hedgeDelayMs);
      const homeResult = yield* Effect.result(
        this.#within(homeWaitMs, this.#findIn(home, id)),
      );
      const homeCopy = homeResult._tag === "Success"
        ? homeResult.success
        : null;
      if (homeCopy !== null && homeCopy.progress !== null) {
        return { copies: [homeCopy], failure: null };
      }
      const isAbsentAtHome = homeResult._tag === "Success" && homeCopy === null;
      const absence = yield* Effect.result(
        isAbsentAtHome ? onAbsentAtHome : Effect.void,
      );
      const otherResults = yield* Effect.forEach(
        others,
        (partition) => Effect.result(this.#findIn(partition, id)),
        { concurrency: "unbounded" },
      );
      const copies: FoundWorkflow[] = [];
      let failure: Errors.StoreUnavailableError | null =
        absence._tag === "Failure" ? absence.failure : null;
      for (const result of [homeResult, ...otherResults]) {
        if (result._tag === "Failure") failure ??= result.failure;
        else if (result.success !== null) copies.push(result.success);
      }
      return { copies, failure };
    });
  }

  /** Orders the partitions: the home first, those with recent failures last. */
  #partitionOrder(id: string): readonly string[] {
    const all = TableClient.Keys.PARTITIONS;
    const start = all.indexOf(TableClient.Keys.homePartition(id));
    const fromHome = [...all.slice(start), ...all.slice(0, start)];
    const isCircuitOpen = (partition: string) =>
      this.#store.isCircuitOpen(partition);
    return [
      ...fromHome.filter((partition) => !isCircuitOpen(partition)),
      ...fromHome.filter(isCircuitOpen),
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
      // The row exists: an earlier request was accepted.
      Effect.catchTag("ConditionFailedError", () => Effect.void),
    );
  }

  /** Runs a read with a timeout. */
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
      const spec = Workflow.decodeSpec(row.value, id);
      if (spec === null) return yield* overwritten(row.key);
      const cancelKey = TableClient.Keys.cancelKey(partition, id);
      const isCancelled = byKey.has(cancelKey);
      const { revision } = row;
      return { partition, spec, revision, ...progress, isCancelled };
    });
  }

  #readProgress(
    partition: string,
    id: string,
  ): Effect.Effect<
    Pick<FoundWorkflow, "progress" | "hasUnreadableProgress">,
    Errors.StoreUnavailableError
  > {
    const key = TableClient.Keys.progressKey(partition, id);
    return Effect.map(this.#store.read([key], READ_TIMEOUT_MS), ([row]) => {
      const progress = Workflow.decodeProgress(row?.value);
      const hasUnreadableProgress = row !== undefined && progress === null;
      return { progress, hasUnreadableProgress };
    });
  }
}

/** Error for a row whose value is no longer what this program has written. */
function overwritten(key: string): Errors.StoreUnavailableError {
  const cause = `another program has overwritten ${key}`;
  return new Errors.StoreUnavailableError({ operation: "read", cause });
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

/** Merges failures into one that is `perhapsDone` if one of them is. */
function mergeFailures(
  failures: readonly Errors.StoreUnavailableError[],
): Errors.StoreUnavailableError {
  return failures.find(({ perhapsDone }) => perhapsDone === true) ??
    failures[0];
}
