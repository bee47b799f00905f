/** Options of the endpoint directory, shared by its parts. */
import type * as sessionOptions from "../sessions/session_options.ts";

/** Options of the endpoint directory. */
export interface DirectoryOptions extends SharedSessionOptions {
  /** Whether endpoint speeds differ enough for the uneven-speed model to apply. */
  readonly doEndpointsDiffer: () => boolean;
}

/** Session options that are the same for every session of the directory. */
export type SharedSessionOptions = Omit<
  sessionOptions.SessionOptions,
  | "ref"
  | "listedBornMs"
  | "lapsesAtMs"
  | "previousOrdersUntilMs"
  | "unansweredStarts"
  | "progressWaitMs"
  | "load"
  | "stopRetrySlots"
  | "failureLog"
  | "mayHold"
  | "dataCentre"
  | "isContested"
  | "onAnswered"
>;
