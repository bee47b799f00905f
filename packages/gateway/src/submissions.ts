/** Accepts, cancels and shows workflows; every answer rests on stored rows. */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as access from "./access.ts";

/** What a caller hands in, already in the product's terms. */
export interface Submission {
  readonly id: string;
  readonly payload: string;
  readonly steps: readonly Workflow.StepSpec[];
  readonly schedule: Workflow.Schedule | null;
}

/** What the submissions need. */
export interface SubmissionOptions {
  readonly store: TableClient.StoreClient;
  readonly clock: Ports.Clock;
}

/** A write of the store that a caller waits for ends within this time. */
const WRITE_LIMIT_MS = 450;
const READ_LIMIT_MS = 450;
/**
 * Callers often ask just as the last task ends, while its record is on the way
 * to the store; a caller who hears `running` asks again only much later.
 */
const RECORD_ARRIVES_MS = 25;

/** Callers' side of the workflows. */
export class Submissions {
  readonly #store: TableClient.StoreClient;
  readonly #clock: Ports.Clock;

  constructor(options: SubmissionOptions) {
    this.#store = options.store;
    this.#clock = options.clock;
  }

  /**
   * Stores a workflow; the same id again changes nothing. An error without
   * `perhapsDone` proves that it is not stored.
   */
  accept(
    allowed: access.Access,
    submission: Submission,
  ): Effect.Effect<
    void,
    Errors.BadRequestError | Errors.StoreUnavailableError
  > {
    const { id, payload, steps, schedule } = submission;
    const fault = Workflow.findStepFault(steps, schedule);
    if (fault !== null) return Effect.fail(new Errors.BadRequestError(fault));
    const value: Workflow.WorkflowSpec = {
      id,
      tenant: allowed.tenant,
      policy: policyOf(allowed.route),
      payload,
      steps,
      schedule,
      acceptedAtMs: this.#clock.wallMs(),
    };
    const partition = TableClient.Keys.homePartition(id);
    const key = TableClient.Keys.workflowKey(partition, id);
    const { queue } = value.policy;
    const mark = TableClient.Keys.waitingKey(partition, queue, id);
    const write = {
      conditions: [{ key, revision: 0 }],
      writes: [{ key, value }, { key: mark, value: 1 }],
    };
    return this.#store.write(write, WRITE_LIMIT_MS).pipe(
      Effect.asVoid,
      // The row is there: it was accepted before.
      Effect.catchTag("ConditionFailedError", () => Effect.void),
    );
  }

  /** Marks a workflow as cancelled; fails where there is none. */
  cancel(
    allowed: access.Access,
    id: string,
  ): Effect.Effect<
    void,
    | Errors.UnknownJobError
    | Errors.StoreUnavailableError
    | Errors.ConditionFailedError
  > {
    return Effect.gen({ self: this }, function* () {
      yield* this.#find(allowed, id);
      const partition = TableClient.Keys.homePartition(id);
      const key = TableClient.Keys.cancelKey(partition, id);
      const writes = [{ key, value: this.#clock.wallMs() }];
      yield* this.#store.write({ conditions: [], writes }, WRITE_LIMIT_MS);
    });
  }

  /** The state of a workflow, from its rows. */
  state(
    allowed: access.Access,
    id: string,
  ): Effect.Effect<
    Workflow.WorkflowState,
    Errors.UnknownJobError | Errors.StoreUnavailableError
  > {
    return Effect.gen({ self: this }, function* () {
      const rows = yield* this.#find(allowed, id);
      const partition = TableClient.Keys.homePartition(id);
      const key = TableClient.Keys.progressKey(partition, id);
      const state = stateOf(rows.get(key));
      if (Workflow.isFinal(state)) return state;
      const isCancelled = rows.has(TableClient.Keys.cancelKey(partition, id));
      if (isCancelled) return Workflow.WorkflowState.Cancelled;
      if (state === Workflow.WorkflowState.Queued) return state;
      yield* this.#clock.sleep(RECORD_ARRIVES_MS);
      const [row] = yield* this.#store.read([key], READ_LIMIT_MS);
      return stateOf(row);
    });
  }

  /** Accepted workflows of a queue of which nothing has begun. */
  countWaiting(
    allowed: access.Access,
  ): Effect.Effect<number, Errors.StoreUnavailableError> {
    const prefixes = TableClient.Keys.waitingPrefixes(allowed.route.queue);
    const scans = prefixes.map((prefix) =>
      this.#store.scan(prefix, 0, READ_LIMIT_MS)
    );
    return Effect.map(
      Effect.all(scans, { concurrency: "unbounded" }),
      (found) => found.flat().length,
    );
  }

  #find(
    allowed: access.Access,
    id: string,
  ): Effect.Effect<
    ReadonlyMap<string, Ports.Row>,
    Errors.UnknownJobError | Errors.StoreUnavailableError
  > {
    const partition = TableClient.Keys.homePartition(id);
    const key = TableClient.Keys.workflowKey(partition, id);
    const keys = [
      key,
      TableClient.Keys.progressKey(partition, id),
      TableClient.Keys.cancelKey(partition, id),
    ];
    return Effect.gen({ self: this }, function* () {
      const rows = yield* this.#store.read(keys, READ_LIMIT_MS);
      const byKey = new Map(rows.map((row) => [row.key, row]));
      const spec = byKey.get(key)?.value as Workflow.WorkflowSpec | undefined;
      const isOwn = spec !== undefined && isVisible(allowed, spec);
      if (!isOwn) return yield* new Errors.UnknownJobError({ jobId: id });
      return byKey;
    });
  }
}

/** The state that a progress row shows; without one nothing has begun. */
function stateOf(row: Ports.Row | undefined): Workflow.WorkflowState {
  const progress = row?.value as Workflow.ProgressRecord | undefined;
  return progress?.state ?? Workflow.WorkflowState.Queued;
}

/** A tenant sees its own workflows, and those that were handed in openly. */
function isVisible(
  allowed: access.Access,
  spec: Workflow.WorkflowSpec,
): boolean {
  const isOfQueue = spec.policy.queue === allowed.route.queue;
  const isOfTenant = spec.tenant === "" || allowed.tenant === spec.tenant ||
    allowed.route.anonymous;
  return isOfQueue && isOfTenant;
}

function policyOf(route: Ports.QueueRoute): Workflow.QueuePolicy {
  const {
    queue,
    service,
    priority,
    attempts,
    stretch,
    latencyMs,
    advice,
  } = route;
  return { queue, service, priority, attempts, stretch, latencyMs, advice };
}
