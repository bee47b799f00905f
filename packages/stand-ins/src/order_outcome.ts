/** Outcomes that tests choose for orders to endpoints. */

/** Kind of an order. */
export type OrderKind = "start" | "stop" | "renew";

/** Outcome of an order. */
export enum OrderOutcome {
  Delivered = "carried",
  /** It never arrives. */
  Lost = "lost",
  /** It is executed, but its answer is lost. */
  AnswerLost = "answer-lost",
  /** It gets no answer and is executed seconds later. */
  Late = "late",
  /** It never gets an answer or an error. */
  Silent = "silent",
  /** It is refused for lack of capacity. */
  NoRoom = "no-room",
}

/** Outcome of orders to the address of an ended incarnation. */
export enum DeadAddressOutcome {
  /** Connections are refused until another incarnation answers under its own id. */
  Answers = "answers",
  /** Connections are reset, even after another incarnation listens there. */
  Resets = "resets",
  /** There is no answer until another incarnation answers under its own id. */
  Silent = "silent",
}
