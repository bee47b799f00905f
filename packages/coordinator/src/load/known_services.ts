/** Services whose endpoints have been listed for so long that their sizes are known. */

/**
 * Endpoints that come up together, as after a start of all, are listed within this
 * time, in ms: some beats of 1.5 s. Before, the largest one may still be missing.
 */
const SETTLE_MS = 10_000;

/** Since when the endpoints of services are known, in one term. */
export class SettledServices {
  readonly #sinceMs = new Map<string, number>();

  /** @param inherited services that the coordinator before told of */
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

  /** Whether the sizes of a service are known. */
  has(service: string, nowMs: number): boolean {
    const sinceMs = this.#sinceMs.get(service) ?? Number.POSITIVE_INFINITY;
    return nowMs - sinceMs >= SETTLE_MS;
  }
}
