/**
 * Fences partitions against writes of earlier coordinators. A row in each partition
 * holds the fencing token of the only coordinator that may write progress there.
 */
import type * as Ports from "@cairngate/ports";
import * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";
import * as storedTokens from "../election/stored_tokens.ts";
import type * as terms from "../election/term.ts";
import type * as ports from "../ports.ts";

/** Time limit of one read or write of a fence row. */
const TIMEOUT_MS = 1500;

interface FenceRow {
  readonly token: number;
}

/** The fences that one term holds. */
export class PartitionFences {
  readonly #store: TableClient.StoreClient;
  readonly #term: terms.Term;
  /** Revision of the fence row by fenced partition. */
  readonly #revisions = new Map<string, number>();

  constructor(
    { store }: Pick<ports.CoordinatorPorts, "store">,
    term: terms.Term,
  ) {
    this.#store = store;
    this.#term = term;
  }

  /** The condition that every write in a fenced partition has to carry. */
  condition(partition: string): Ports.RowCondition {
    const revision = this.#revisions.get(partition);
    if (revision === undefined) {
      throw new RangeError(`partition ${partition} is not fenced by this term`);
    }
    return { key: TableClient.Keys.fenceKey(partition), revision };
  }

  /** Fences earlier coordinators out of a partition; false where that failed. */
  acquire(partition: string): Effect.Effect<boolean> {
    const key = TableClient.Keys.fenceKey(partition);
    return Effect.gen({ self: this }, function* () {
      const [row] = yield* this.#store.read([key], TIMEOUT_MS);
      const currentToken = storedTokens.decodeFence(row?.value);
      if (currentToken > this.#term.token) {
        this.#term.loseTo(
          currentToken,
          `a later token ${currentToken} fences partition ${partition}`,
        );
        return false;
      }
      const value: FenceRow = { token: this.#term.token };
      const write = {
        conditions: [{ key, revision: row?.revision ?? 0 }],
        writes: [{ key, value }],
      };
      const revision = yield* this.#store.write(write, TIMEOUT_MS);
      this.#revisions.set(partition, revision);
      return true;
    }).pipe(Effect.catch(() => Effect.succeed(false)));
  }
}
