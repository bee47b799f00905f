/**
 * Which life of an endpoint answers under its id. Lives of one id follow one
 * another, and each answer tells the birth of its own. Which of two births is the
 * later one follows from the order of our calls and not from the births: a time of
 * day may have been set back between them.
 */

/** A moment of this session; moments rise with each order and each answer. */
export type EventNumber = number;

/** Whose answer it is. */
export enum AnswerOrigin {
  /** The life that is known, or the first one that is heard. */
  Current = "known",
  /** One that has begun since the known one answered last. */
  Newer = "later",
  /** Perhaps a former one: the order left before the known one answered last. */
  Unclear = "unclear",
}

/** The life that answered last. */
export class CurrentIncarnation {
  #bornMs: number | null = null;
  #hasAnswered = false;
  #lastEvent: EventNumber = 0;
  #answeredAt: EventNumber = 0;

  /** Its birth; null before it was heard, or where it tells none. */
  get bornMs(): number | null {
    return this.#bornMs;
  }

  /** Whether any life was heard. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** The moment at which an order leaves. */
  noteSent(): EventNumber {
    return ++this.#lastEvent;
  }

  /**
   * Takes in the birth that an answer tells. Whoever answers an order that left
   * after the known life's last answer lives after it, so it is that life or a later
   * one.
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
