/** Removes rows of workflows, under the fences of their partitions. */
import type * as TableClient from "@cairngate/table-client";
import type * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";
import type * as ports from "../ports.ts";
import type * as fences from "./partition_fences.ts";

/** Most rows that one write removes; the store takes 100 entries in all. */
const MAX_KEYS_PER_WRITE = 90;

/** Why rows could not be removed. */
export type RemovalFailure =
  | Errors.StoreUnavailableError
  | Errors.ConditionFailedError;

/** Removes rows for one term. */
export class RowRemover {
  readonly #store: TableClient.StoreClient;
  readonly #fences: fences.PartitionFences;

  constructor(
    { store }: Pick<ports.CoordinatorPorts, "store">,
    partitionFences: fences.PartitionFences,
  ) {
    this.#store = store;
    this.#fences = partitionFences;
  }

  /** Removes rows of one partition, in as many writes as they need. */
  remove(
    partition: string,
    keys: readonly string[],
  ): Effect.Effect<void, RemovalFailure> {
    const count = Math.ceil(keys.length / MAX_KEYS_PER_WRITE);
    const batches = Array.from({ length: count }, (_, i) => {
      const first = i * MAX_KEYS_PER_WRITE;
      return keys.slice(first, first + MAX_KEYS_PER_WRITE);
    });
    return Effect.forEach(
      batches,
      (batch) => this.#removeAtOnce(partition, batch),
      { discard: true },
    );
  }

  #removeAtOnce(
    partition: string,
    keys: readonly string[],
  ): Effect.Effect<unknown, RemovalFailure> {
    return Effect.suspend(() =>
      this.#store.write({
        conditions: [this.#fences.condition(partition)],
        writes: keys.map((key) => ({ key, value: null })),
      })
    );
  }
}
