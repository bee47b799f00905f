/** Writes the rows by which callers cancel workflows. */
import type * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import type * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import type * as workflowRows from "./workflow_rows.ts";

/** Timeout of a write that a caller waits for, in ms. */
const WRITE_TIMEOUT_MS = 450;

const { cancelKey, earlyCancelKey, homePartition, workflowKey } =
  TableClient.Keys;

/** Cancel marks of workflows, stored or not. */
export class CancelMarks {
  readonly #store: TableClient.StoreClient;
  readonly #clock: Ports.Clock;

  constructor(options: {
    readonly store: TableClient.StoreClient;
    readonly clock: Ports.Clock;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
  }

  /** Marks a copy as cancelled; false where it was changed or removed since. */
  markCopy(
    { partition, revision, spec: { id } }: workflowRows.FoundWorkflow,
  ): Effect.Effect<boolean, Errors.StoreUnavailableError> {
    return this.#writeIf(
      { key: workflowKey(partition, id), revision },
      { key: cancelKey(partition, id), value: this.#clock.wallMs() },
    );
  }

  /**
   * Stores an early cancel of a workflow that its home partition does not hold; false
   * where the home holds it now.
   */
  markEarly(
    id: string,
    scope: Workflow.CallerScope,
  ): Effect.Effect<boolean, Errors.StoreUnavailableError> {
    const home = homePartition(id);
    const { queue, team, anonymous } = scope;
    const scopeName = JSON.stringify([queue, team, anonymous]);
    return this.#writeIf(
      { key: workflowKey(home, id), revision: 0 },
      { key: earlyCancelKey(home, id, scopeName), value: scope },
    );
  }

  #writeIf(
    condition: Ports.RowCondition,
    mark: Ports.RowWrite,
  ): Effect.Effect<boolean, Errors.StoreUnavailableError> {
    const write = { conditions: [condition], writes: [mark] };
    return this.#store.write(write, WRITE_TIMEOUT_MS).pipe(
      Effect.as(true),
      Effect.catchTag("ConditionFailedError", () => Effect.succeed(false)),
    );
  }
}
