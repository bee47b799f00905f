/** The platform's object store, for inputs and results too large for a row. */
import type * as Effect from "effect/Effect";
import type * as failures from "./store_error.ts";

/** Port of the object store. */
export abstract class ObjectStore {
  /** Stores an object under a key, replacing an earlier one. */
  abstract put(
    key: string,
    value: unknown,
  ): Effect.Effect<void, failures.StoreError>;

  /** Reads an object; undefined if there is none. */
  abstract get(key: string): Effect.Effect<unknown, failures.StoreError>;
}
