/** Sentences on the runs for which a workflow was given up. */
import * as Workflow from "@cairngate/workflow";

const { RunCount, RunEvidence } = Workflow;

/** What is told where runs may be missing. */
export const PARTIAL_HISTORY =
  "More runs may have counted; they are too many, or an earlier coordinator saw them.";

const EVIDENCE_TEXT: Readonly<Record<Workflow.RunEvidence, string>> = {
  [RunEvidence.OwnWord]: "by its own word",
  [RunEvidence.SeenThere]:
    "its endpoint was shown to have ended while the run was under way",
  [RunEvidence.Likely]:
    "its endpoint was shown to have ended, and the run was likely under way",
  [RunEvidence.NeverShown]:
    "its endpoint was shown to have ended, and nothing shows the run under way",
  [RunEvidence.NotListed]:
    "its endpoint is not heard, and its lease has run out",
  [RunEvidence.NotHeard]: "its gang ended, and its endpoint was not heard",
  [RunEvidence.Withdrawn]: "its end was open until the endpoint answered again",
};

const COUNT_TEXT: Readonly<Record<Workflow.RunCount, string>> = {
  [RunCount.Failure]: "It counts as a failure.",
  [RunCount.Crash]: "It counts as a crash laid to the task.",
  [RunCount.Excused]: "It is excused, as others fell at that moment.",
  [RunCount.Suspicion]: "It is laid to nobody and is one of the ends in all.",
  [RunCount.Nothing]: "It counts nothing.",
};

/** One run: where it was, how it ended, what shows it and what it counted. */
export function describeRun(entry: Workflow.RunEntry): string {
  const { run, endpoint, how, evidence, counted } = entry;
  return `run ${run} on ${endpoint} ended as ${how}: ${
    EVIDENCE_TEXT[evidence]
  }. ` +
    COUNT_TEXT[counted];
}
