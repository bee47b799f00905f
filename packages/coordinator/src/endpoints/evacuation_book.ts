/**
 * Which data centres the operator evacuates, as this box knows it. Nothing starts
 * there from the time at which this box learns of it; a box that has not heard the
 * operator's rows for too long starts nothing at all, because any data centre may
 * be evacuated by then.
 */
import type * as Logger from "@cairngate/logger";
import * as Ports from "@cairngate/ports";

/** What the book works with. */
export interface EvacuationBookOptions {
  readonly clock: Ports.Clock;
  readonly log: Logger.Logger;
  /** Time from the operator's word until nothing starts there any more, in ms. */
  readonly inForceMs: number;
}

/** A data centre that is evacuated. */
export interface Evacuation {
  readonly dataCentre: string;
  /** Time of day at which this box learned of it, in ms since 1970. */
  readonly sinceMs: number;
}

/**
 * Covers the way of an order to its endpoint, in ms: it may be tried for twice
 * 0.45 s with 0.15 s between (run_starter.ts) before nothing more is sent, but each
 * try asks again, so that one try counts; the rest is for the feed's answer.
 */
const ORDER_MARGIN_MS = 700;

/** Data centres in which nothing may start. */
export class EvacuationBook {
  readonly #options: EvacuationBookOptions;
  /** By the key of the operator's row: a removed row shows no more than that. */
  readonly #byRow = new Map<string, Evacuation>();
  #syncedAtMs = Number.NEGATIVE_INFINITY;
  #syncedAtWallMs = Number.NEGATIVE_INFINITY;

  constructor(options: EvacuationBookOptions) {
    this.#options = options;
  }

  /** Takes in changes of the operator's rows. */
  take(entries: readonly Ports.FeedEntry<Ports.OperatorEntry>[]): void {
    for (const { key, value } of entries) {
      if (value === null) this.#endEvacuation(key);
      else if (value.kind === Ports.OperatorEntryKind.Evacuation) {
        this.#startEvacuation(key, value.dataCentre);
      }
    }
  }

  /** All of the operator's rows are known as they are now. */
  noteHeard(): void {
    const { clock } = this.#options;
    this.#syncedAtMs = clock.monotonicMs();
    this.#syncedAtWallMs = clock.wallMs();
  }

  /**
   * Whether an evacuation may be in force that this box has not heard of. The steady
   * clock of a box that was suspended may have stood still; its time of day has not.
   */
  get mayBeLate(): boolean {
    const { clock, inForceMs } = this.#options;
    const staleForMs = Math.max(
      clock.monotonicMs() - this.#syncedAtMs,
      clock.wallMs() - this.#syncedAtWallMs,
    );
    return staleForMs > inForceMs - ORDER_MARGIN_MS;
  }

  /** Whether the operator evacuates a data centre, as far as is known. */
  isEvacuated(dataCentre: string): boolean {
    // Asked for each endpoint in each plan; mostly there is none.
    for (const one of this.#byRow.values()) {
      if (one.dataCentre === dataCentre) return true;
    }
    return false;
  }

  /** Whether a task may start in a data centre now. */
  mayStart(dataCentre: string): boolean {
    return !this.mayBeLate && !this.isEvacuated(dataCentre);
  }

  /** All evacuations, in the order in which they were learned. */
  list(): readonly Evacuation[] {
    return [...this.#byRow.values()];
  }

  #startEvacuation(key: string, dataCentre: string): void {
    if (this.#byRow.has(key)) return;
    const sinceMs = this.#options.clock.wallMs();
    this.#byRow.set(key, { dataCentre, sinceMs });
    this.#options.log.info(
      `Data centre ${dataCentre} is evacuated: nothing starts there any more.`,
    );
  }

  #endEvacuation(key: string): void {
    const ended = this.#byRow.get(key);
    if (ended === undefined) return;
    this.#byRow.delete(key);
    this.#options.log.info(
      `Data centre ${ended.dataCentre} is taken back into use.`,
    );
  }
}
