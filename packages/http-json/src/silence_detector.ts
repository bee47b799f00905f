/**
 * Finds the kept connections that may have turned silent. A connection can stop
 * carrying data for good without being reset, and then other connections to the
 * same address often stop with it. So an overdue response makes all connections
 * suspect that have received nothing since its call was sent. When a response is
 * overdue depends on the average response time of the address: a slow address is
 * not silent.
 */

/** A call that waits for its response. */
export interface PendingCall {
  readonly address: string;
  /** Monotonic time at which it was sent, in ms. */
  readonly sentAtMs: number;
  /** Time for which the server may hold the response back by agreement, in ms. */
  readonly quietMs: number;
  /**
   * Whether its connection has carried earlier calls. A missing response on a new
   * connection says something about the address, nothing about other connections.
   */
  isReused: boolean;
}

/** Pending calls and response times of one address. */
interface AddressStats {
  readonly pending: Set<PendingCall>;
  /** Moving average of the response time, in ms. */
  averageMs: number;
}

/**
 * A response that takes this many times the average is overdue. The responses of
 * a healthy service, 0.5 to 3 times the average, stay below.
 */
export const OVERDUE_FACTOR = 4;
/**
 * No response is overdue sooner, in ms: a box that is busy for a moment reads its
 * responses this late without any fault.
 */
export const MIN_OVERDUE_MS = 100;
/** Weight of the newest response in the average: about the last three count. */
const NEWEST_SAMPLE_WEIGHT = 0.3;
/** At this number, addresses without pending calls are removed. */
const MAX_ADDRESSES = 5000;

/** Detects overdue responses and silent connections. */
export class SilenceDetector {
  readonly #addresses = new Map<string, AddressStats>();

  /** Adds a call that is being sent. */
  add(call: PendingCall): void {
    this.#statsOf(call.address).pending.add(call);
  }

  /** Removes a call whose whole response has arrived, and updates the average. */
  noteResponse(call: PendingCall, nowMs: number): void {
    const stats = this.#statsOf(call.address);
    stats.pending.delete(call);
    const delayMs = nowMs - call.sentAtMs - call.quietMs;
    // A response before the agreed time says nothing about the delay.
    if (delayMs < 0) return;
    stats.averageMs += (delayMs - stats.averageMs) * NEWEST_SAMPLE_WEIGHT;
  }

  /** Removes a call that has ended without a response. */
  remove(call: PendingCall): void {
    this.#statsOf(call.address).pending.delete(call);
  }

  /**
   * Returns when the newest overdue call was sent, in ms; null where none is
   * overdue. Connections that have received nothing since may be silent and must
   * not be used.
   */
  suspectBeforeMs(address: string, nowMs: number): number | null {
    const stats = this.#addresses.get(address);
    if (stats === undefined) return null;
    const scaledMs = stats.averageMs * OVERDUE_FACTOR;
    const allowedMs = Math.max(MIN_OVERDUE_MS, scaledMs);
    let newestSentAtMs: number | null = null;
    for (const { isReused, sentAtMs, quietMs } of stats.pending) {
      const isOverdue = nowMs - sentAtMs > quietMs + allowedMs;
      if (!isReused || !isOverdue) continue;
      newestSentAtMs = Math.max(newestSentAtMs ?? sentAtMs, sentAtMs);
    }
    return newestSentAtMs;
  }

  /** Whether a call that is abandoned now was sent over a silent connection. */
  isSilent(call: PendingCall, receivedAtMs: number, nowMs: number): boolean {
    const expectedSinceMs = Math.max(
      call.sentAtMs + call.quietMs,
      receivedAtMs,
    );
    return call.isReused && nowMs - expectedSinceMs > MIN_OVERDUE_MS;
  }

  #statsOf(address: string): AddressStats {
    const existing = this.#addresses.get(address);
    if (existing !== undefined) return existing;
    if (this.#addresses.size >= MAX_ADDRESSES) this.#removeIdle();
    const created = { pending: new Set<PendingCall>(), averageMs: 0 };
    this.#addresses.set(address, created);
    return created;
  }

  #removeIdle(): void {
    for (const [address, { pending }] of this.#addresses) {
      if (pending.size === 0) this.#addresses.delete(address);
    }
  }
}
