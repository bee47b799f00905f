/**
 * Guards against unexplained parallel runs of a task: the first run was presumed
 * ended while it was still on its endpoint, and nothing was logged. The log has to
 * name such runs with the evidence of their presumed end.
 */
import * as Metrics from "@cairngate/metrics";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";
import * as assignments from "./assignment.ts";
import * as prematureEnds from "./premature_ends.ts";
import * as listeners from "./session_listener.ts";

const ENDPOINT = "i-1";

/** A run that was sent, and the detection for its endpoint. */
function createFixture() {
  const clock = new TestUtils.FakeClock();
  const log = new TestUtils.RecordingLog();
  const workflow = new Workflow.Workflow({
    id: "w",
    tenant: "hana",
    policy: TestUtils.buildAccess().queues[1],
    payload: "",
    steps: [TestUtils.buildStep()],
    schedule: null,
    acceptedAtMs: 0,
  });
  const [task] = workflow.tasks;
  task.place(ENDPOINT, 1, clock.monotonicMs());
  const assignment = assignments.createAssignment(task, null);
  assignment.isSent = true;
  const metrics = new Metrics.Metrics();
  const ends = new prematureEnds.PrematureEnds({
    clock,
    log,
    metrics,
    endpoint: ENDPOINT,
  });
  return { clock, assignment, ends, metrics, messages: log.messages };
}

/** An answer that reports the run as held or as ended. */
function viewOf({ held = false, ended = false }) {
  const run = { task: "w.0.0.0", run: 1, checkpoint: "" };
  return {
    clockMs: 0,
    bornMs: null,
    toldEnds: 0,
    held: held ? [{ ...run, percent: 0, reading: null }] : [],
    ended: ended ? [{ ...run, number: 1, how: "broken" as const }] : [],
  };
}

const ENDED_FIRST = listeners.lost(listeners.LostCause.EndedBeforeGang);

vitest.describe("a run that was presumed ended", () => {
  vitest.it(
    "is logged once, with its evidence, when it is reported",
    async () => {
      const { clock, assignment, ends, metrics, messages } = createFixture();
      ends.noteEnd(assignment, ENDED_FIRST);
      await clock.advance(300);
      ends.checkView(viewOf({ held: true }));
      ends.checkView(viewOf({ held: true }));
      vitest.expect(messages).toEqual([
        "Run 1 of w.0.0.0 was presumed ended 300 ms ago (ended-first), but " +
        "endpoint i-1 still holds it.",
      ]);
      const evidence = "ended-first";
      vitest.expect(metrics.get("cairngate_runs_outlived_total", { evidence }))
        .toBe(1);
    },
  );

  vitest.it("is logged when its end is reported later", () => {
    const { assignment, ends, messages } = createFixture();
    ends.noteEnd(assignment, ENDED_FIRST);
    ends.checkView(viewOf({ ended: true }));
    vitest.expect(messages).toEqual([
      "Run 1 of w.0.0.0 was presumed ended 0 ms ago (ended-first), but " +
      "endpoint i-1 reports it as broken.",
    ]);
  });

  vitest.it("is not logged if its endpoint reported the end", () => {
    const { assignment, ends, messages } = createFixture();
    const how = Workflow.RunEnd.GangBroken;
    ends.noteEnd(assignment, { how, checkpoint: "", cause: null });
    ends.checkView(viewOf({ ended: true }));
    vitest.expect(messages).toEqual([]);
  });
});
