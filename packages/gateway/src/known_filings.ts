/**
 * Workflows that this box has stored lately, or may have stored: their writes are
 * under way, or got no answer.
 */
import type * as Errors from "@cairngate/errors";
import * as Effect from "effect/Effect";

/** Ids that are kept; of more the first are dropped, and looked for in the store. */
const MOST_KEPT = 2000;

/** Ids of such workflows. */
export class KnownFilings {
  /** Writes under way, by id. */
  readonly #underWay = new Map<string, number>();
  readonly #kept = new Set<string>();

  /** Whether the workflow of this id is stored, or may be. */
  mayHave(id: string): boolean {
    return this.#underWay.has(id) || this.#kept.has(id);
  }

  /** Watches the write of a workflow. */
  watch(
    id: string,
    write: Effect.Effect<void, Errors.StoreUnavailableError>,
  ): Effect.Effect<void, Errors.StoreUnavailableError> {
    const begin = Effect.sync(() => {
      this.#underWay.set(id, (this.#underWay.get(id) ?? 0) + 1);
    });
    const keep = Effect.sync(() => this.#keep(id));
    const watched = write.pipe(
      Effect.tap(() => keep),
      Effect.tapError((err) => err.perhapsDone === true ? keep : Effect.void),
      Effect.onInterrupt(() => keep),
      Effect.ensuring(Effect.sync(() => this.#end(id))),
    );
    return Effect.andThen(begin, watched);
  }

  #end(id: string): void {
    const left = (this.#underWay.get(id) ?? 1) - 1;
    if (left > 0) this.#underWay.set(id, left);
    else this.#underWay.delete(id);
  }

  #keep(id: string): void {
    this.#kept.delete(id);
    this.#kept.add(id);
    if (this.#kept.size <= MOST_KEPT) return;
    const [oldest] = this.#kept;
    this.#kept.delete(oldest);
  }
}
