/** Access checks, admission and workflow requests of callers at one box. */
export {
  type Access,
  type AccessError,
  type AccessRequest,
  AccessTable,
} from "./src/access.ts";
export {
  AdmissionController,
  type AdmissionControllerOptions,
  type AdmissionDump,
} from "./src/admission_controller.ts";
export {
  MemoryAdmission,
  type MemoryAdmissionOptions,
} from "./src/memory_admission.ts";
export { type Rejection } from "./src/rejection_log.ts";
export {
  type Submission,
  type SubmissionOptions,
  Submissions,
  type WorkflowStatus,
} from "./src/submissions.ts";
