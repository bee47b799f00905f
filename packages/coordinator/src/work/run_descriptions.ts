/** Describes failures, and the runs that counted toward giving a workflow up. */
import * as Workflow from "@cairngate/workflow";

const { CountedAs, RunEvidence } = Workflow;

/** Note for a history from which runs may be missing. */
export const PARTIAL_HISTORY =
  "More runs may have counted: too many to keep, or seen by an earlier coordinator.";

const EVIDENCE_TEXT: Readonly<Record<Workflow.RunEvidence, string>> = {
  [RunEvidence.Reported]: "by its own word",
  [RunEvidence.Confirmed]:
    "its endpoint was shown to have ended while the run was under way",
  [RunEvidence.Likely]:
    "its endpoint was shown to have ended, and the run was likely under way",
  [RunEvidence.Unconfirmed]:
    "its endpoint was shown to have ended, and nothing shows the run under way",
  [RunEvidence.Unlisted]:
    "its endpoint is not heard, and its lease has run out",
  [RunEvidence.GangEnded]: "its gang ended, and its endpoint did not answer",
  [RunEvidence.Withdrawn]:
    "its end was unknown until the endpoint answered again",
};

const COUNT_TEXT: Readonly<Record<Workflow.CountedAs, string>> = {
  [CountedAs.Failure]: "It counts as a failure.",
  [CountedAs.Crash]: "It counts as a crash laid to the task.",
  [CountedAs.Excused]:
    "It is excused, because other endpoints failed at the same time.",
  [CountedAs.PossibleCrash]:
    "It is not attributed to the task, but counts toward the limit on all crashes.",
  [CountedAs.Nothing]: "It does not count.",
};

/** Describes one run: its endpoint, its end, the evidence and what it counts as. */
export function describeRun(entry: Workflow.RunEntry): string {
  const { run, endpoint, how, evidence, counted } = entry;
  return `run ${run} on ${endpoint} ended as ${how}: ${
    EVIDENCE_TEXT[evidence]
  }. ` +
    COUNT_TEXT[counted];
}

/** Describes how many runs of a task have failed, or may turn out to have failed. */
export function describeFailures(
  { workflow, stepKey, failures }: Workflow.Task,
): string {
  const { spec: { policy: { attempts } }, unresolvedRuns } = workflow;
  const openCount = unresolvedRuns.openRuns(stepKey).size;
  return `${failures} of ${attempts} allowed failures are counted, and ` +
    `${openCount} runs are of unknown outcome`;
}
