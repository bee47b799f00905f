/** Exit codes of `cairngate`; docs/OPERATING.md documents them. */
export enum ExitCode {
  Ok = 0,
  /** The request was refused, or the job did not run. */
  Refused = 1,
  /** A file or an argument is not valid. */
  Invalid = 2,
  /** The version in force is not the one that the file is based on. */
  Conflict = 3,
  /** The box did not respond. */
  Unreachable = 4,
  /** It is unknown whether the job ran or the file was applied. */
  Unknown = 5,
}
