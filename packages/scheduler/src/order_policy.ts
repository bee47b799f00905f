/** In which order waiting jobs of one tier are tried. */

/** What an order policy may look at. Times in milliseconds. */
export interface OrderInput {
  readonly submittedAtMs: number;
  readonly remainingMs: number;
  readonly size: number;
}

/** Gives each waiting job a fixed key; the smallest key goes first. */
export abstract class OrderPolicy {
  /** Key of a job when it enters the queue. */
  abstract key(input: OrderInput): number;
  /** Milliseconds by which a team is put back for its whole share in use. */
  abstract fairShareMs(): number;
}

/** First come, first served. */
export class ArrivalOrder extends OrderPolicy {
  override key(input: OrderInput): number {
    return input.submittedAtMs;
  }

  override fairShareMs(): number {
    return 0;
  }
}

/**
 * Shortest remaining work first, with ageing: a job that needs one more hour
 * goes behind jobs that come up to `factor` hours later. The key is fixed on
 * arrival, so a waiting job is overtaken for a bounded time only.
 */
export class AgedShortestFirst extends OrderPolicy {
  readonly #factor: number;
  readonly #fairShareMs: number;

  constructor(factor: number, fairShareMs: number) {
    super();
    this.#factor = factor;
    this.#fairShareMs = fairShareMs;
  }

  override key(input: OrderInput): number {
    return input.submittedAtMs + this.#factor * input.remainingMs;
  }

  override fairShareMs(): number {
    return this.#fairShareMs;
  }
}
