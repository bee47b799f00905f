/**
 * Services that have been listed long enough for the sizes of their endpoints to be
 * known.
 */

/**
 * Time in which endpoints that start together, as after a full restart, are all listed,
 * in ms: several heartbeats of 1.5 s. Before that, the largest endpoint may still be
 * missing.
 */
const SETTLE_MS = 10_000;

/** First listing time of each service, for one term. */
export class SettledServices {
  readonly #sinceMs = new Map<string, number>();

  /**
   * @param inherited services in the forecast of the previous coordinator, which count
   * as settled
   */
  constructor(inherited: Iterable<string>) {
    for (const service of inherited) {
      this.#sinceMs.set(service, Number.NEGATIVE_INFINITY);
    }
  }

  /** Takes in the services of the endpoints that are listed now. */
  note(listed: Iterable<string>, nowMs: number): void {
    for (const service of listed) {
      if (!this.#sinceMs.has(service)) this.#sinceMs.set(service, nowMs);
    }
  }

  /** Whether the sizes of a service's endpoints are known. */
  has(service: string, nowMs: number): boolean {
    const sinceMs = this.#sinceMs.get(service) ?? Number.POSITIVE_INFINITY;
    return nowMs - sinceMs >= SETTLE_MS;
  }
}
