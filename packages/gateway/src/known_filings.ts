/**
 * Workflows that this box has stored lately, or may have stored: their writes are
 * under way, or got no answer.
 */
import type * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";

/** Ids that are kept; of more the first are dropped, and looked for in the store. */
const MAX_RECENT = 2000;

/** Ids of such workflows. */
export class RecentWrites {
  /** Writes under way, by id. */
  readonly #pending = new Map<string, number>();
  readonly #recent = new Set<string>();

  /** Whether the workflow of this id is stored, or may be. */
  mayBeStored(id: string): boolean {
    return this.#pending.has(id) || this.#recent.has(id);
  }

  /** Watches the write of a workflow. */
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
