/**
 * Ends that one worker has listed: which are new, which are recorded, and up to
 * which number the worker was told. A number stands for all below it.
 */
import type * as Ports from "@cairngate/ports";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** Ends of one worker life. */
export class ReportedEnds {
  #seen = 0;
  #recorded = 0;
  #acknowledged = 0;
  /** Done once the ends of all looks so far are recorded. */
  #allRecorded = Deferred.makeUnsafe<void>();

  constructor() {
    Deferred.doneUnsafe(this.#allRecorded, Effect.void);
  }

  /** Number up to which ends may be forgotten. */
  get recorded(): number {
    return this.#recorded;
  }

  /** Whether the worker has still to be told of recorded ends. */
  get hasUnacknowledged(): boolean {
    return this.#recorded > this.#acknowledged;
  }

  /** Whether some ends are seen and not recorded. */
  get hasUnrecorded(): boolean {
    return this.#recorded < this.#seen;
  }

  /** The worker has been told that ends up to a number are recorded. */
  noteAcknowledged(upTo: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, upTo);
  }

  /** Those of the listed ends that were not seen before. */
  takeNew(ended: readonly Ports.EndedRun[]): readonly Ports.EndedRun[] {
    const added = ended.filter(({ number }) => number > this.#seen);
    for (const { number } of added) this.#seen = Math.max(this.#seen, number);
    return added;
  }

  /**
   * Notes that the ends seen so far are recorded once these records, and those
   * of all earlier looks, are written; then calls back.
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

  /** Ends when all ends seen so far are recorded. */
  awaitRecords(): Effect.Effect<void> {
    return Effect.suspend(() => Deferred.await(this.#allRecorded));
  }
}
