/** Times that the listings of endpoints tell, by our own steady clock. */
import type * as Ports from "@cairngate/ports";

interface ListedTimes {
  /** Birth of the life that told it; null: not told. */
  readonly bornMs: number | null;
  /** When the newest listing came. */
  readonly listedAtMs: number;
  /** Least time by which it may leave; null while it stays. */
  readonly leavesAtMs: number | null;
  /** Until when it runs slowly from its start. */
  readonly coldUntilMs: number;
}

/** What the listings of all endpoints tell of times. */
export class ListingTimes {
  readonly #clock: Ports.Clock;
  readonly #times = new Map<string, ListedTimes>();

  constructor(clock: Ports.Clock) {
    this.#clock = clock;
  }

  /**
   * A listing has come; one that tells no time to leave keeps what the same life told
   * before.
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

  /** An endpoint is listed no more. */
  remove(id: string): void {
    this.#times.delete(id);
  }

  /** When the newest listing came; null where there is none. */
  listedAtMs(id: string): number | null {
    return this.#times.get(id)?.listedAtMs ?? null;
  }

  /** Least time until an endpoint leaves; null while it stays. */
  leavesInMs(id: string): number | null {
    const atMs = this.#times.get(id)?.leavesAtMs ?? null;
    return atMs === null ? null : Math.max(0, atMs - this.#clock.monotonicMs());
  }

  /** Whether an endpoint has just come up and runs slowly for a while. */
  isCold(id: string): boolean {
    const untilMs = this.#times.get(id)?.coldUntilMs;
    return untilMs !== undefined && this.#clock.monotonicMs() < untilMs;
  }
}
