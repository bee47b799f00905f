/** What tests let happen to orders to endpoints. */

/** The kinds of orders. */
export type OrderKind = "start" | "stop" | "renew";

/** What becomes of an order on its way. */
export enum OrderFate {
  Carried = "carried",
  /** It never arrives. */
  Lost = "lost",
  /** It is carried out, and its answer is lost. */
  AnswerLost = "answer-lost",
  /** It gets no answer and is carried out seconds later. */
  Late = "late",
  /** It arrives, and nothing ever comes back. */
  Silent = "silent",
  /** It is refused for want of room. */
  NoRoom = "no-room",
}

/** What orders meet at an address whose life has ended. */
export enum DeadAddress {
  /** Nobody listens until another life is there, which then says so. */
  Answers = "answers",
  /** Connections are cut off, also after another life is there. */
  Resets = "resets",
  /** Nothing comes back until another life is there, which then says so. */
  Silent = "silent",
}
