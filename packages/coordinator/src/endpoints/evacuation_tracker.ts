/**
 * Data centres that the operator evacuates, as known to this box. Nothing starts there
 * once this box learns of the evacuation. A box that has not received the operator's
 * rows for too long starts nothing at all, because any data centre may be under
 * evacuation by then.
 */
import type * as Logger from "@cairngate/logger";
import * as Ports from "@cairngate/ports";

/** Options of the evacuation tracker. */
export interface EvacuationTrackerOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  /** Time from the operator's command until nothing starts there any more, in ms. */
  readonly inForceMs: number;
}

/** A data centre under evacuation. */
export interface Evacuation {
  readonly dataCentre: string;
  /** Wall-clock time at which this box learned of it, in ms since 1970. */
  readonly sinceMs: number;
}

/**
 * Margin for the delivery of an order to its endpoint, in ms. An order may be tried
 * twice for 0.45 s with 0.15 s between (run_starter.ts), but each try checks again, so
 * one try counts; the rest covers the feed's answer.
 */
const ORDER_MARGIN_MS = 700;

/** Data centres in which nothing may start. */
export class EvacuationTracker {
  readonly #options: EvacuationTrackerOptions;
  /** Evacuations by row key: the change that removes a row carries only its key. */
  readonly #byRow = new Map<string, Evacuation>();
  #syncedAt: Ports.Moment | null = null;

  constructor(options: EvacuationTrackerOptions) {
    this.#options = options;
  }

  /** Applies changes of the operator's rows. */
  applyChanges(entries: readonly Ports.FeedEntry<Ports.OperatorEntry>[]): void {
    for (const { key, value } of entries) {
      if (value === null) this.#endEvacuation(key);
      else if (value.kind === Ports.OperatorEntryKind.Evacuation) {
        this.#startEvacuation(key, value.dataCentre);
      }
    }
  }

  /** Notes that all of the operator's rows are up to date as of now. */
  noteSynced(): void {
    this.#syncedAt = this.#options.clock.now();
  }

  /** Whether an evacuation may be in force that this box has not received. */
  get mayBeOutdated(): boolean {
    const { clock, inForceMs } = this.#options;
    return this.#syncedAt === null ||
      clock.elapsedMsSince(this.#syncedAt) > inForceMs - ORDER_MARGIN_MS;
  }

  /** Whether a data centre is under evacuation, as far as this box knows. */
  isEvacuated(dataCentre: string): boolean {
    // Called for each endpoint in each plan; usually there is no evacuation.
    for (const one of this.#byRow.values()) {
      if (one.dataCentre === dataCentre) return true;
    }
    return false;
  }

  /** Whether a task may start in a data centre now. */
  mayStart(dataCentre: string): boolean {
    return !this.mayBeOutdated && !this.isEvacuated(dataCentre);
  }

  /** All evacuations, in the order in which they were received. */
  list(): readonly Evacuation[] {
    return [...this.#byRow.values()];
  }

  #startEvacuation(key: string, dataCentre: string): void {
    if (this.#byRow.has(key)) return;
    const sinceMs = this.#options.clock.wallMs();
    this.#byRow.set(key, { dataCentre, sinceMs });
    this.#options.log.info(
      `Data centre ${dataCentre} is evacuated: no further runs start there.`,
    );
  }

  #endEvacuation(key: string): void {
    const ended = this.#byRow.get(key);
    if (ended === undefined) return;
    this.#byRow.delete(key);
    this.#options.log.info(
      `Data centre ${ended.dataCentre} is no longer evacuated: runs may start there.`,
    );
  }
}
