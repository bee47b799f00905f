/** Exit codes of `cairngate`, documented in docs/OPERATING.md. */
export enum ExitCode {
  Ok = 0,
  /** The request was refused, or the job did not run. */
  Refused = 1,
  /** A file or an argument is not valid. */
  Invalid = 2,
  /** Another version is in force than the file was written from. */
  Conflict = 3,
  /** The box did not answer. */
  Unreachable = 4,
  /** It is not known whether the job ran or the file was applied. */
  Unknown = 5,
}
