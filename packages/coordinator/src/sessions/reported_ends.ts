/**
 * Ends of runs that one endpoint has reported: which are new, which are recorded, and
 * up to which number they are acknowledged to the endpoint. A number includes all
 * lower ones.
 */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Reported ends of one incarnation of an endpoint. */
export class ReportedEnds {
  #seen = 0;
  #recorded = 0;
  #acknowledged = 0;
  /** Completes when the ends of all polls so far are recorded. */
  #allRecorded = Deferred.makeUnsafe<void>();

  constructor() {
    Deferred.doneUnsafe(this.#allRecorded, Effect.void);
  }

  /** Number up to which the endpoint may drop its ends. */
  get recorded(): number {
    return this.#recorded;
  }

  /** Whether recorded ends are not yet acknowledged to the endpoint. */
  get hasUnacknowledged(): boolean {
    return this.#recorded > this.#acknowledged;
  }

  /** Whether some reported ends are not yet recorded. */
  get hasUnrecorded(): boolean {
    return this.#recorded < this.#seen;
  }

  /** Notes that ends up to a number were acknowledged to the endpoint. */
  noteAcknowledged(upTo: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, upTo);
  }

  /** Returns those of the reported ends that were not reported before. */
  takeNew(ended: readonly Ports.EndedRun[]): readonly Ports.EndedRun[] {
    const added = ended.filter(({ number }) => number > this.#seen);
    for (const { number } of added) this.#seen = Math.max(this.#seen, number);
    return added;
  }

  /**
   * Marks the ends reported so far as recorded once these records, and those of all
   * earlier polls, are written; then calls back.
   */
  recordAfter(
    records: readonly Effect.Effect<void>[],
    onRecorded: () => void,
  ): void {
    const upTo = this.#seen;
    const earlier = this.#allRecorded;
    const done = Deferred.makeUnsafe<void>();
    this.#allRecorded = done;
    const all = Effect.all(
      [Deferred.await(earlier), ...records],
      { concurrency: "unbounded", discard: true },
    );
    const note = Effect.sync(() => {
      this.#recorded = upTo;
      Deferred.doneUnsafe(done, Effect.void);
      onRecorded();
    });
    Effect.runFork(Effect.andThen(all, note));
  }

  /** Completes when all ends reported so far are recorded. */
  awaitRecords(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#allRecorded));
  }
}
