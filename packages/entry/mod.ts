/** Accepts, runs, reports and cancels the jobs of a box's callers. */
export { Entry, type Submission, SubmissionKind } from "./src/entry.ts";
export { type AskError, type EntryPorts, OwnerDirectory } from "./src/ports.ts";
export { type SubmitRequest } from "./src/parse_submission.ts";
