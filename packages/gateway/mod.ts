/** Access checks, admission and workflow requests of callers at one box. */
export {
  type Access,
  type AccessError,
  type AccessRequest,
  AccessTable,
} from "./src/access.ts";
export {
  AdmissionDesk,
  type AdmissionDeskOptions,
  type AdmissionDump,
} from "./src/admission_desk.ts";
export { type Rejection } from "./src/rejection_log.ts";
export {
  type Submission,
  type SubmissionOptions,
  Submissions,
  type WorkflowStanding,
} from "./src/submissions.ts";
