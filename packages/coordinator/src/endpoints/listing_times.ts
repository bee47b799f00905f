/** Times derived from listings, on this box's monotonic clock. */
import type * as Ports from "@cairngate/ports";

interface ListedTimes {
  /** Birth time of the incarnation that the listing names; null where it names none. */
  readonly bornMs: number | null;
  /** When the newest listing arrived. */
  readonly listedAtMs: number;
  /** Earliest time at which it may leave; null while it stays. */
  readonly leavesAtMs: number | null;
  /** End of the cold start, during which runs are slow. */
  readonly coldUntilMs: number;
}

/** Times from the newest listing of each endpoint. */
export class ListingTimes {
  readonly #clock: Ports.Clock;
  readonly #times = new Map<string, ListedTimes>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /**
   * Takes in a listing. One without a departure time keeps that of the same
   * incarnation.
   */
  note(listing: Ports.EndpointListing): void {
    const { id, bornMs, draining, leavesInMs, coldForMs } = listing;
    const listedAtMs = this.#clock.monotonicMs();
    const former = this.#times.get(id);
    const previousMs = former?.bornMs === bornMs ? former.leavesAtMs : null;
    const isLeaving = draining && leavesInMs !== null;
    const leavesAtMs = isLeaving ? listedAtMs + leavesInMs : previousMs;
    const coldUntilMs = listedAtMs + coldForMs;
    this.#times.set(id, { bornMs, listedAtMs, leavesAtMs, coldUntilMs });
  }

  /** Drops the times of an endpoint that became unlisted. */
  remove(id: string): void {
    this.#times.delete(id);
  }

  /** When the newest listing arrived; null where there is none. */
  listedAtMs(id: string): number | null {
    return this.#times.get(id)?.listedAtMs ?? null;
  }

  /** Earliest time until an endpoint leaves, in ms; null while it stays. */
  leavesInMs(id: string): number | null {
    const atMs = this.#times.get(id)?.leavesAtMs ?? null;
    return atMs === null ? null : Math.max(0, atMs - this.#clock.monotonicMs());
  }

  /** Whether an endpoint is in its cold start and runs slowly. */
  isCold(id: string): boolean {
    const untilMs = this.#times.get(id)?.coldUntilMs;
    return untilMs !== undefined && this.#clock.monotonicMs() < untilMs;
  }
}
