/** Takes callers' jobs and answers them. */
export { Entry, type Submission, SubmissionKind } from "./src/entry.ts";
export { type AskError, type EntryPorts, OwnerDirectory } from "./src/ports.ts";
export { type SubmitRequest } from "./src/parse_submission.ts";
