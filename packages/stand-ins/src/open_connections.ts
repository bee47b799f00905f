/**
 * Connections of one box to one address, which may all turn silent at once. The
 * box learns of it only by answers that do not come: calls that begin before
 * the first one is overdue use silent connections too, later ones a new one.
 */
import type * as Ports from "@cairngate/ports";

/** A call over HTTP without an answer is overdue after this time, in ms. */
const OVERDUE_MS = 100;

/** Connections that nobody uses are closed after this time, in ms. */
const IDLE_MS = 4000;

/** What a call goes over. */
export interface CallWay {
  /** Whether nothing that is sent arrives. */
  readonly isSilent: boolean;
  /** Whether the answer can still come. */
  readonly answers: () => boolean;
}

/** Open connections to one address. */
export class OpenConnections {
  readonly #clock: Ports.Clock;
  readonly #overdueMs: number;
  #silences = 0;
  #usedAtMs = Number.NEGATIVE_INFINITY;
  #hasSilent = false;
  #firstUseAtMs: number | null = null;

  /** @param overdueMs after how long a call casts suspicion on the others */
  constructor(clock: Ports.Clock, overdueMs = OVERDUE_MS) {
    this.#clock = clock;
    this.#overdueMs = overdueMs;
  }

  /** All that are open now are silent from now on; new ones work. */
  silence(): void {
    this.#silences++;
    // Those that nobody used lately are closed already.
    const idleMs = this.#clock.monotonicMs() - this.#usedAtMs;
    this.#hasSilent = idleMs <= IDLE_MS;
    this.#firstUseAtMs = null;
  }

  /** A call begins. */
  begin(): CallWay {
    const isSilent = this.#useSilent();
    this.#usedAtMs = this.#clock.monotonicMs();
    const silences = this.#silences;
    return { isSilent, answers: () => this.#silences === silences };
  }

  #useSilent(): boolean {
    if (!this.#hasSilent) return false;
    const nowMs = this.#clock.monotonicMs();
    this.#firstUseAtMs ??= nowMs;
    if (nowMs - this.#firstUseAtMs <= this.#overdueMs) return true;
    this.#hasSilent = false;
    return false;
  }
}
