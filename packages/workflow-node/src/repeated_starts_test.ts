/**
 * Guards against needless copies of a start. A start without an answer may have
 * arrived; a second copy of it may be delivered seconds later, to the next incarnation
 * under the id, which then repeats completed work or hides the crash of the previous
 * one.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const CRASHING_ID = "c000000000000001";
/** Exceeds the duration of the test, in ms. */
const NEVER_MS = 600_000;
/** Time from the sending of a late start to its delivery, in ms. */
const LATE_START_DELAY_MS = 2500;
/** Time within which all late orders are delivered, in ms. */
const SETTLED_MS = 5000;
const TIMEOUT_MS = 60_000;
/** Time without answers to polls after a start, in ms: longer than until the retry. */
const SILENT_MS = 160;

const { AnswerLost, Delivered, Late, Lost } = StandIns.OrderOutcome;

/** Builds a fleet of one endpoint, which restarts only when the test restarts it. */
function buildFleet(): TestUtils.TestFleet {
  const fleet = new TestUtils.TestFleet({ workers: [1] });
  fleet.keepsIds = true;
  fleet.restartDelayMs = NEVER_MS;
  return fleet;
}

vitest.describe("a start that arrived without an answer", () => {
  vitest.it("is not sent again while polls show its run", async () => {
    const fleet = buildFleet();
    fleet.workers.behave = () => ({ runMs: 1000, fails: false });
    await fleet.start();
    let starts = 0;
    fleet.workers.decideOutcome = (_, order) => {
      if (order === "start") starts++;
      return order === "start" ? AnswerLost : Delivered;
    };
    await fleet.submit("node-1", ID);
    await fleet.until(() =>
      fleet.state(ID) === Workflow.WorkflowState.Completed
    );
    vitest.expect(starts).toBe(1);
    await fleet.stop();
  });

  for (const unansweredMs of [0, 300]) {
    vitest.it(
      "does not repeat completed work after a restart, " +
        `with polls unanswered for ${unansweredMs} ms`,
      async () => {
        const fleet = buildFleet();
        const { workers } = fleet;
        workers.behave = () => ({ runMs: 100, fails: false });
        await fleet.start();
        const startedAtMs: number[] = [];
        workers.decideOutcome = (_, order) => {
          const nowMs = fleet.clock.monotonicMs();
          if (order === "start") startedAtMs.push(nowMs);
          const [firstAtMs] = startedAtMs;
          if (order === "start") {
            return startedAtMs.length === 1 ? AnswerLost : Late;
          }
          return nowMs < firstAtMs + unansweredMs ? AnswerLost : Delivered;
        };
        await fleet.submit("node-1", ID);
        await fleet.until(() =>
          workers.runs.some(({ acknowledgedAtMs }) => acknowledgedAtMs !== null)
        );
        const [first] = workers.runs;
        // The endpoint is cut off from here on and restarts before a copy arrives.
        workers.decideOutcome = () => Lost;
        workers.crash(first.worker);
        fleet.restartUnderSameId({ id: first.worker, accelerators: 1 });
        await fleet.clock.advance(LATE_START_DELAY_MS + SETTLED_MS);
        vitest.expect(first.how).toBe("done");
        vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
        await fleet.stop();
      },
    );
  }
});

vitest.describe("a crash between two attempts of a start", () => {
  for (const restartDelayMs of [50, 120]) {
    vitest.it(
      `counts if the endpoint is back after ${restartDelayMs} ms`,
      async () => {
        const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
        fleet.keepsIds = true;
        fleet.restartDelayMs = restartDelayMs;
        fleet.workers.behave = () => ({
          runMs: TIMEOUT_MS,
          fails: false,
          crashesAfterMs: 10,
        });
        await fleet.start();
        // Each first attempt starts the run, its answer is lost, and so are polls until
        // the endpoint is back.
        let attempts = 0;
        let silentUntilMs = 0;
        fleet.workers.decideOutcome = (_, order) => {
          const nowMs = fleet.clock.monotonicMs();
          if (order !== "start") {
            return nowMs < silentUntilMs ? Lost : Delivered;
          }
          if (attempts++ % 2 === 1) return Delivered;
          silentUntilMs = nowMs + SILENT_MS;
          return AnswerLost;
        };
        await fleet.submit("node-1", CRASHING_ID);
        const isGivenUp = await fleet.until(
          () => fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed,
          TIMEOUT_MS,
        );
        vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
        vitest.expect(isGivenUp).toBe(true);
        await fleet.stop();
      },
    );
  }
});
