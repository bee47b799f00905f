/**
 * Which kept connections may be used. A connection can turn silent for good
 * without being reset, and then its neighbours to the same address have often
 * turned silent with it. So a call without an answer casts suspicion on the
 * connections that have not been heard since it was sent. What is usual for an
 * address decides how long an answer may take: a slow address is not silent.
 */

/** A call that waits for its answer. */
export interface PendingCall {
  readonly address: string;
  /** Monotonic time at which it was sent, in ms. */
  readonly sentAtMs: number;
  /** Time for which the answer may be held back by agreement, in ms. */
  readonly quietMs: number;
  /**
   * Whether its connection has carried earlier calls. A new connection that is
   * not answered tells something about the address, nothing about neighbours.
   */
  isReused: boolean;
}

/** What is known of one address. */
interface AddressStats {
  readonly pending: Set<PendingCall>;
  /** What an answer usually takes, in ms. */
  averageMs: number;
}

/**
 * An answer that takes this many times the usual time is overdue: the spread of
 * a well service's answers (0.5 to 3 times the usual) stays below.
 */
const OVERDUE_FACTOR = 4;
/**
 * No answer is overdue sooner, in ms: a box that is busy for a moment reads its
 * answers this much late without anything being wrong.
 */
const MIN_OVERDUE_MS = 100;
/** Weight of the newest answer in the usual time: about three answers count. */
const NEWEST_SAMPLE_WEIGHT = 0.3;
/** Addresses that are remembered; idle ones are forgotten beyond this. */
const MAX_ADDRESSES = 5000;

/** Watches for answers that do not come. */
export class SilenceDetector {
  readonly #addresses = new Map<string, AddressStats>();

  /** A call is sent. */
  add(call: PendingCall): void {
    this.#statsOf(call.address).pending.add(call);
  }

  /** Its answer has come, whole. */
  noteResponse(call: PendingCall, nowMs: number): void {
    const stats = this.#statsOf(call.address);
    stats.pending.delete(call);
    const delayMs = nowMs - call.sentAtMs - call.quietMs;
    // An answer before the agreed time tells no delay.
    if (delayMs < 0) return;
    stats.averageMs += (delayMs - stats.averageMs) * NEWEST_SAMPLE_WEIGHT;
  }

  /** It has ended without an answer. */
  remove(call: PendingCall): void {
    this.#statsOf(call.address).pending.delete(call);
  }

  /**
   * Connections that were heard before this time may be silent and must not be
   * used; null where nothing is overdue.
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

  /** Whether a call that is given up now has waited in vain. */
  isSilent(call: PendingCall, receivedAtMs: number, nowMs: number): boolean {
    const silentSinceMs = Math.max(call.sentAtMs + call.quietMs, receivedAtMs);
    return call.isReused && nowMs - silentSinceMs > MIN_OVERDUE_MS;
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
