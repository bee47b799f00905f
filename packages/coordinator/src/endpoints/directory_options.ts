/** What the directory of endpoints is given, for all its parts. */
import type * as sessionOptions from "../sessions/session_options.ts";

/** What the directory needs: what is the same for all its sessions. */
export type DirectoryOptions = Omit<
  sessionOptions.SessionOptions,
  | "ref"
  | "listedBornMs"
  | "lapsesAtMs"
  | "progressWaitMs"
  | "load"
  | "silences"
  | "mayHold"
  | "dataCentre"
  | "isContested"
  | "onHeard"
>;
