/**
 * Workflows that this box has stored recently, or may have stored because their
 * writes are pending or were not answered.
 */
import type * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";

/** Maximum number of remembered ids; dropped ones are looked up in the store. */
const MAX_RECENT = 2000;

/** Ids of workflows that may be stored. */
export class RecentWrites {
  /** Number of pending writes, by id. */
  readonly #pending = new Map<string, number>();
  readonly #recent = new Set<string>();

  /** Whether the workflow with this id is stored or may be. */
  mayBeStored(id: string): boolean {
    return this.#pending.has(id) || this.#recent.has(id);
  }

  /** Runs a write of a workflow and remembers it, unless it provably failed. */
  track(
    id: string,
    write: Effect.Effect<void, Errors.StoreUnavailableError>,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const begin = Effect.sync(() => {
      this.#pending.set(id, (this.#pending.get(id) ?? 0) + 1);
    });
    const remember = Effect.sync(() => this.#remember(id));
    const tracked = write.pipe(
      Effect.tap(() => remember),
      Effect.tapError((err) =>
        err.perhapsDone === true ? remember : Effect.void
      ),
      Effect.onInterrupt(() => remember),
      Effect.ensuring(Effect.sync(() => this.#end(id))),
    );
    return Effect.andThen(begin, tracked);
  }

  #end(id: string): void {
    const remaining = (this.#pending.get(id) ?? 1) - 1;
    if (remaining > 0) this.#pending.set(id, remaining);
    else this.#pending.delete(id);
  }

  #remember(id: string): void {
    this.#recent.delete(id);
    this.#recent.add(id);
    if (this.#recent.size <= MAX_RECENT) return;
    const [oldest] = this.#recent;
    this.#recent.delete(oldest);
  }
}
