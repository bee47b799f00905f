/**
 * Notices the end of an outage of the store. While all calls fail, whoever made
 * them pauses or waits for answers that will never come; meanwhile this asks the
 * store for next to nothing again and again, without waiting for the questions
 * before, and tells the client of the first answer.
 */
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";

/** What the watch needs. */
export interface RecoveryDetectorOptions {
  readonly store: TableClient.StoreClient;
  readonly clock: Ports.Clock;
  /** Asks the store, over a new connection. */
  readonly probe: () => Effect.Effect<void, Ports.StoreError>;
}

/**
 * Time between two questions, in ms. Callers that were refused come back within
 * a second or two, so 0.15 s lose few of them; at 97 boxes it is 650 reads a
 * second, a twentieth of what the store takes.
 */
const PROBE_INTERVAL_MS = 150;
/** The store counts as away after failures of this length, in ms. */
const OUTAGE_AFTER_MS = 150;

/** Watches for the store's return. */
export class RecoveryDetector {
  readonly #options: RecoveryDetectorOptions;

  constructor(options: RecoveryDetectorOptions) {
    this.#options = options;
  }

  /** Watches for ever. */
  run(): Effect.Effect<never> {
    return this.#options.clock.every(
      PROBE_INTERVAL_MS,
      Effect.sync(() => this.#probeInOutage()),
    );
  }

  #probeInOutage(): void {
    const { store, probe } = this.#options;
    if (store.silentForMs() < OUTAGE_AFTER_MS) return;
    const answered = Effect.sync(() => store.noteAnswered());
    Effect.runFork(Effect.ignore(Effect.andThen(probe(), answered)));
  }
}
