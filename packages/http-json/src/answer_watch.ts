/**
 * Which kept connections may be used. A connection can turn silent for good
 * without being reset, and then its neighbours to the same address have often
 * turned silent with it. So a call without an answer casts suspicion on the
 * connections that have not been heard since it was sent. What is usual for an
 * address decides how long an answer may take: a slow address is not silent.
 */

/** A call that waits for its answer. */
export interface WaitingCall {
  readonly address: string;
  /** Monotonic time at which it was sent, in ms. */
  readonly sentAtMs: number;
  /** Time for which the answer may be held back by agreement, in ms. */
  readonly quietMs: number;
  /**
   * Whether its connection has carried earlier calls. A new connection that is
   * not answered tells something about the address, nothing about neighbours.
   */
  onKept: boolean;
}

/** What is known of one address. */
interface AddressNotes {
  readonly waiting: Set<WaitingCall>;
  /** What an answer usually takes, in ms. */
  usualMs: number;
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
const LEAST_OVERDUE_MS = 100;
/** Weight of the newest answer in the usual time: about three answers count. */
const NEWEST_WEIGHT = 0.3;
/** Addresses that are remembered; idle ones are forgotten beyond this. */
const MOST_ADDRESSES = 5000;

/** Watches for answers that do not come. */
export class AnswerWatch {
  readonly #addresses = new Map<string, AddressNotes>();

  /** A call is sent. */
  begin(call: WaitingCall): void {
    this.#notesOf(call.address).waiting.add(call);
  }

  /** Its answer has come, whole. */
  answered(call: WaitingCall, nowMs: number): void {
    const notes = this.#notesOf(call.address);
    notes.waiting.delete(call);
    const tookMs = nowMs - call.sentAtMs - call.quietMs;
    // An answer before the agreed time tells no delay.
    if (tookMs < 0) return;
    notes.usualMs += (tookMs - notes.usualMs) * NEWEST_WEIGHT;
  }

  /** It has ended without an answer. */
  ended(call: WaitingCall): void {
    this.#notesOf(call.address).waiting.delete(call);
  }

  /**
   * Connections that were heard before this time may be silent and must not be
   * used; null where nothing is overdue.
   */
  suspectBeforeMs(address: string, nowMs: number): number | null {
    const notes = this.#addresses.get(address);
    if (notes === undefined) return null;
    const usualMs = notes.usualMs * OVERDUE_FACTOR;
    const allowedMs = Math.max(LEAST_OVERDUE_MS, usualMs);
    let newestMs: number | null = null;
    for (const { onKept, sentAtMs, quietMs } of notes.waiting) {
      const isOverdue = nowMs - sentAtMs > quietMs + allowedMs;
      if (!onKept || !isOverdue) continue;
      newestMs = Math.max(newestMs ?? sentAtMs, sentAtMs);
    }
    return newestMs;
  }

  /** Whether a call that is given up now has waited in vain. */
  isSilence(call: WaitingCall, heardAtMs: number, nowMs: number): boolean {
    const quietSinceMs = Math.max(call.sentAtMs + call.quietMs, heardAtMs);
    return call.onKept && nowMs - quietSinceMs > LEAST_OVERDUE_MS;
  }

  #notesOf(address: string): AddressNotes {
    const known = this.#addresses.get(address);
    if (known !== undefined) return known;
    if (this.#addresses.size >= MOST_ADDRESSES) this.#forgetIdle();
    const made = { waiting: new Set<WaitingCall>(), usualMs: 0 };
    this.#addresses.set(address, made);
    return made;
  }

  #forgetIdle(): void {
    for (const [address, { waiting }] of this.#addresses) {
      if (waiting.size === 0) this.#addresses.delete(address);
    }
  }
}
