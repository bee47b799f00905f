/**
 * Detects the end of a store outage. While all calls fail, their callers back off or
 * wait for answers that never come. The detector sends small probes at a fixed
 * interval, without waiting for earlier ones, and reports the first answer to the
 * store client.
 */
import type * as Ports from "@cairngate/ports";
import type * as TableClient from "@cairngate/table-client";
import * as Effect from "effect/Effect";

/** Dependencies of a {@link RecoveryDetector}. */
export interface RecoveryDetectorOptions {
  readonly store: TableClient.StoreClient;
  readonly clock: Ports.Clock;
  /** Probes the store over a new connection. */
  readonly probe: () => Effect.Effect<void, Ports.StoreError>;
}

/**
 * Time between two probes, in ms. Refused callers retry within one or two seconds, so
 * few of them are refused again; 97 boxes send 650 reads a second, a twentieth of what
 * the store can serve.
 */
const PROBE_INTERVAL_MS = 150;
/** Time without an answer after which the store counts as unavailable, in ms. */
const OUTAGE_AFTER_MS = 150;

/** Probes the store during an outage and reports its recovery. */
export class RecoveryDetector {
  readonly #options: RecoveryDetectorOptions;

  constructor(options: RecoveryDetectorOptions) {
    this.#options = options;
  }

  /** Probes while the store is unavailable; never ends. */
  run(): Effect.Effect<never> {
    return this.#options.clock.every(
      PROBE_INTERVAL_MS,
      Effect.sync(() => this.#probeInOutage()),
    );
  }

  #probeInOutage(): void {
    const { store, probe } = this.#options;
    if (store.failingForMs() < OUTAGE_AFTER_MS) return;
    const answered = Effect.sync(() => store.recordAnswer());
    Effect.runFork(Effect.ignore(Effect.andThen(probe(), answered)));
  }
}
