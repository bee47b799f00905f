/** Callers' side of a node. */
export {
  type Access,
  type AccessError,
  type AccessRequest,
  AccessTable,
} from "./src/access.ts";
export {
  type Submission,
  type SubmissionOptions,
  Submissions,
  type WorkflowStanding,
} from "./src/submissions.ts";
