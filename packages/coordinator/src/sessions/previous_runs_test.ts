/**
 * Guards against counting crashes of incarnations that can't have executed a run: only
 * another copy of its start can reach the next incarnation.
 */
import * as Logger from "@cairngate/logger";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as Effect from "effect/Effect";
import * as vitest from "vitest";
import * as failureLogs from "../endpoints/endpoint_failure_log.ts";
import type * as assignments from "./assignment.ts";
import * as evidences from "./end_evidence.ts";
import * as previousRuns from "./previous_runs.ts";
import * as trackedRuns from "./tracked_runs.ts";
import * as unansweredStarts from "./unanswered_starts.ts";
import * as unreportedRuns from "./unreported_runs.ts";

const FIRST_BORN_MS = 1;
const SECOND_BORN_MS = 2;
/** Time from the last copy of the start to the answer of the second incarnation, in ms. */
const ANSWER_DELAY_MS = 1000;

function createTask(): Workflow.Task {
  const workflow = new Workflow.Workflow({
    id: "w",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep({})],
    schedule: null,
    acceptedAtMs: 0,
  });
  const [task] = workflow.tasks;
  task.place("i-1", 1, 0);
  return task;
}

/** Ends a run with the first incarnation; the second one answers without it. */
async function endWithFirst(
  copies: number,
  answerDelayMs = ANSWER_DELAY_MS,
) {
  const clock = new TestUtils.FakeClock();
  const tracked = new trackedRuns.TrackedRuns(() => Effect.void);
  const createEvidence = () =>
    new evidences.EndEvidence({
      clock,
      log: Logger.silentLogger(),
      ref: { id: "i-1", address: "10.0.0.1:80" },
      failureLog: new failureLogs.EndpointFailureLog({
        clock,
        onExcused: () => {},
      }),
    });
  const previous = new previousRuns.PreviousRuns({
    clock,
    tracked,
    unreported: new unreportedRuns.UnreportedRuns(),
    unansweredStarts: new unansweredStarts.UnansweredStarts(clock),
    blockStart: () => {},
    blockRun: () => {},
  });
  const assignment = tracked.reserve(createTask(), null);
  Object.assign(
    assignment,
    {
      isSent: true,
      sentAtMs: clock.monotonicMs(),
      resentAtMs: clock.monotonicMs(),
      deliverableCopies: copies,
      bornMs: FIRST_BORN_MS,
    } satisfies Partial<assignments.Assignment>,
  );
  await clock.advance(answerDelayMs);
  const view = {
    clockMs: 0,
    bornMs: SECOND_BORN_MS,
    toldEnds: 0,
    held: [],
    ended: [],
  };
  previous.endAbsent({
    view,
    isNew: true,
    isFirst: false,
    evidence: createEvidence(),
    previousBornMs: FIRST_BORN_MS,
    hasEnded: false,
  });
  const evidence = createEvidence();
  evidence.noteAnswered();
  const second = { bornMs: SECOND_BORN_MS, evidence };
  return { previous, assignment, second };
}

vitest.describe("a run that ended with an earlier incarnation", () => {
  vitest.it("may be repeated by another copy of its start", async () => {
    const { previous, second } = await endWithFirst(2);
    const { Unknown } = Workflow.Presence;
    vitest.expect(previous.findPossibleRepeats(second)).toMatchObject([
      { run: 1, bornMs: SECOND_BORN_MS, presence: Unknown },
    ]);
  });

  vitest.it("is not repeated if there was one copy", async () => {
    const { previous, second } = await endWithFirst(1);
    vitest.expect(previous.findPossibleRepeats(second)).toEqual([]);
  });

  vitest.it("is not repeated after a confirmed stop", async () => {
    const { previous, assignment, second } = await endWithFirst(2);
    assignment.expectedSinceMs = ANSWER_DELAY_MS;
    vitest.expect(previous.findPossibleRepeats(second)).toEqual([]);
  });

  vitest.it("is not repeated once no copy is delivered any more", async () => {
    const delayMs = unansweredStarts.LONGEST_ORDER_DELAY_MS + 1;
    const { previous, second } = await endWithFirst(2, delayMs);
    vitest.expect(previous.findPossibleRepeats(second)).toEqual([]);
  });

  vitest.it("is repeated once for each further copy", async () => {
    const { previous, second } = await endWithFirst(2);
    const repeats = previous.findPossibleRepeats(second);
    const endOf = second.evidence.end(
      evidences.EndProof.ConnectionRefused,
      [],
      repeats,
    );
    previous.addRepeatEnds(repeats, endOf);
    vitest.expect(previous.findPossibleRepeats(second)).toEqual([]);
  });
});
