/**
 * Connections of one box to one address, which may all turn silent at once. The box
 * detects this only by missing answers: calls that begin before the first one times out
 * also use a silent connection, and later calls a new one.
 */
import type * as Ports from "@cairngate/ports";

/** Timeout of a call over HTTP, in ms. */
const CALL_TIMEOUT_MS = 100;

/** Time after which unused connections are closed, in ms. */
const IDLE_MS = 4000;

/** Connection of one call. */
export interface CallConnection {
  /** Whether the call never arrives. */
  readonly isSilent: boolean;
  /** Whether the answer can still arrive. */
  readonly canBeAnswered: () => boolean;
}

/** Open connections to one address. */
export class OpenConnections {
  readonly #clock: Ports.Clock;
  readonly #timeoutMs: number;
  #silenceCount = 0;
  #lastUsedAtMs = Number.NEGATIVE_INFINITY;
  #hasSilent = false;
  #firstUseAtMs: number | null = null;

  /**
   * @param timeoutMs time after which a call without an answer closes the connections
   */
  constructor(clock: Ports.Clock, timeoutMs = CALL_TIMEOUT_MS) {
    this.#clock = clock;
    this.#timeoutMs = timeoutMs;
  }

  /** Makes all open connections silent; new ones work. */
  silence(): void {
    this.#silenceCount++;
    // Connections that were idle for too long are already closed.
    const idleMs = this.#clock.monotonicMs() - this.#lastUsedAtMs;
    this.#hasSilent = idleMs <= IDLE_MS;
    this.#firstUseAtMs = null;
  }

  /** Begins a call. */
  begin(): CallConnection {
    const isSilent = this.#useSilent();
    this.#lastUsedAtMs = this.#clock.monotonicMs();
    const silenceCount = this.#silenceCount;
    return {
      isSilent,
      canBeAnswered: () => this.#silenceCount === silenceCount,
    };
  }

  #useSilent(): boolean {
    if (!this.#hasSilent) return false;
    const nowMs = this.#clock.monotonicMs();
    this.#firstUseAtMs ??= nowMs;
    if (nowMs - this.#firstUseAtMs <= this.#timeoutMs) return true;
    this.#hasSilent = false;
    return false;
  }
}
