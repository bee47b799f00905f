/** Policies for the order in which waiting jobs of one tier are tried. */

/** Properties of a job on which its order may depend. Times in milliseconds. */
export interface OrderInput {
  readonly submittedAtMs: number;
  readonly remainingMs: number;
  /** Accelerators of the whole job. */
  readonly size: number;
}

/** Gives each waiting job a sort key; the smallest key goes first. */
export abstract class OrderPolicy {
  /** Key of a job when it enters the queue. */
  abstract key(input: OrderInput): number;
  /** Added to the key of a team's lane per whole share in use, in milliseconds. */
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
 * Shortest remaining work first, with ageing: one more hour of remaining work
 * puts a job behind jobs submitted up to `factor` hours later. The key does not
 * change while a job waits, so later jobs can overtake it for a bounded time.
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
