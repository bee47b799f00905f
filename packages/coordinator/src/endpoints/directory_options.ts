/** What the directory of endpoints is given, for all its parts. */
import type * as sessionOptions from "../sessions/session_options.ts";

/** What the directory needs. */
export interface DirectoryOptions extends SharedSessionOptions {
  /** Whether endpoints differ so much that their speeds count for more. */
  readonly doEndpointsDiffer: () => boolean;
}

/** What is the same for all its sessions. */
export type SharedSessionOptions = Omit<
  sessionOptions.SessionOptions,
  | "ref"
  | "listedBornMs"
  | "lapsesAtMs"
  | "loose"
  | "progressWaitMs"
  | "load"
  | "silences"
  | "mayHold"
  | "dataCentre"
  | "isContested"
  | "onHeard"
>;
