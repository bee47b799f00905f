/**
 * Identifies the incarnation of an endpoint that answers under its id. Incarnations
 * of one id follow one another, and each answer contains a birth time. The order of
 * calls decides which of two incarnations is newer, not their birth times: the clock
 * may have been set back in between.
 */

/** Sequence number of an order or an answer within this session. */
export type EventNumber = number;

/** Incarnation from which an answer came. */
export enum AnswerOrigin {
  /** The known incarnation, or the first one that answers. */
  Current = "known",
  /** An incarnation that started after the last answer of the known one. */
  Newer = "later",
  /** Possibly an earlier one: the order was sent before the last known answer. */
  Unclear = "unclear",
}

/** The incarnation that answered last. */
export class CurrentIncarnation {
  #bornMs: number | null = null;
  #hasAnswered = false;
  #lastEvent: EventNumber = 0;
  #answeredAt: EventNumber = 0;

  /** Its birth time; null before the first answer, or if it reports none. */
  get bornMs(): number | null {
    return this.#bornMs;
  }

  /** Whether any incarnation has answered. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Returns the sequence number of an order that is sent now. */
  noteSent(): EventNumber {
    return ++this.#lastEvent;
  }

  /**
   * Evaluates the birth time in an answer. An incarnation that answers an order sent
   * after the last answer of the known one is the known one or a newer one.
   */
  noteAnswer(bornMs: number | null, leftAt: EventNumber): AnswerOrigin {
    const isOther = this.#hasAnswered && bornMs !== this.#bornMs;
    if (isOther && leftAt < this.#answeredAt) return AnswerOrigin.Unclear;
    this.#answeredAt = ++this.#lastEvent;
    this.#bornMs = bornMs;
    this.#hasAnswered = true;
    return isOther ? AnswerOrigin.Newer : AnswerOrigin.Current;
  }
}
