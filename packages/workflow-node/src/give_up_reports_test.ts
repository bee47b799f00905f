/** Reports to operators list the runs for which a workflow was given up. */
import type * as Coordinator from "@cairngate/coordinator";
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHING_ID = "c000000000000001";
const TASK = `${CRASHING_ID}.0.0.0`;
const TIMEOUT_MS = 60_000;
/** Time without heartbeats after which an entry expires, in ms: three of 0.5 s. */
const ENTRY_EXPIRY_MS = 1500;
/** Time from start to crash, in ms; the start is answered before. */
const CRASH_DELAY_MS = 400;

function crashTasks(fleet: TestUtils.TestFleet): void {
  fleet.workers.behave = () => ({
    runMs: TIMEOUT_MS,
    fails: false,
    crashesAfterMs: CRASH_DELAY_MS,
  });
}

function isFailed(fleet: TestUtils.TestFleet): () => boolean {
  return () => fleet.state(CRASHING_ID) === Workflow.WorkflowState.Failed;
}

/** Returns the report on the workflow that any box gives to operators. */
async function readReport(
  fleet: TestUtils.TestFleet,
): Promise<Coordinator.WorkflowReport | null> {
  const [name] = fleet.boxes.keys();
  return await fleet.run(fleet.box(name).describeWorkflow(CRASHING_ID));
}

async function restartAll(fleet: TestUtils.TestFleet): Promise<void> {
  for (const name of [...fleet.boxes.keys()]) await fleet.kill(name);
  for (const name of ["node-4", "node-5"]) fleet.startBox(name);
  await fleet.clock.advance(10_000);
}

vitest.describe("a workflow that was given up", () => {
  vitest.it("lists its runs, also after a restart of all boxes", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    crashTasks(fleet);
    await fleet.start();
    await fleet.submit("node-1", CRASHING_ID);
    await fleet.until(isFailed(fleet), TIMEOUT_MS);
    await restartAll(fleet);
    const report = await readReport(fleet);
    vitest.expect(report?.state).toBe(Workflow.WorkflowState.Failed);
    vitest.expect(report?.giveUp).toMatchObject({
      reason: Workflow.GiveUpReason.Crashes,
      task: TASK,
      isPartial: false,
    });
    const reportedRuns = report?.giveUp?.runs ?? [];
    vitest.expect(reportedRuns.map(({ run, endpoint }) => ({ run, endpoint })))
      .toEqual(
        fleet.workers.runsOf(TASK).map(({ run, worker }) => ({
          run,
          endpoint: worker,
        })),
      );
    for (const { how, evidence, counted } of reportedRuns) {
      vitest.expect({ how, evidence, counted }).toEqual({
        how: Workflow.RunEnd.Crashed,
        evidence: Workflow.RunEvidence.Confirmed,
        counted: Workflow.CountedAs.Crash,
      });
    }
    await fleet.stop();
  });

  vitest.it("lists runs of earlier coordinators", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    crashTasks(fleet);
    await fleet.start();
    await fleet.submit("node-1", CRASHING_ID);
    // The crash has been detected once the second run starts elsewhere.
    await fleet.until(
      () => fleet.workers.runsOf(TASK).length === 2,
      TIMEOUT_MS,
    );
    const coordinator = fleet.coordinator() ?? "";
    await fleet.kill(coordinator);
    fleet.startBox(`${coordinator}+`);
    await fleet.until(isFailed(fleet), TIMEOUT_MS);
    const giveUp = (await readReport(fleet))?.giveUp;
    vitest.expect(giveUp?.isPartial).toBe(false);
    vitest.expect(giveUp?.runs?.map(({ run }) => run))
      .toEqual(fleet.workers.runsOf(TASK).map(({ run }) => run));
    await fleet.stop();
  });

  vitest.it("lists failures that the endpoints reported", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    fleet.workers.behave = () => ({ runMs: 100, fails: true });
    await fleet.start();
    await fleet.submit("node-1", CRASHING_ID);
    await fleet.until(isFailed(fleet), TIMEOUT_MS);
    const giveUp = (await readReport(fleet))?.giveUp;
    vitest.expect(giveUp?.reason).toBe(Workflow.GiveUpReason.Failures);
    vitest.expect(giveUp?.runs?.map(({ evidence }) => evidence))
      .toEqual(Array(3).fill(Workflow.RunEvidence.Reported));
    vitest.expect(giveUp?.runs?.[0].sentence).toContain("by its own word");
    await fleet.stop();
  });

  vitest.it("is logged with one line for each of its runs", async () => {
    const messages: string[] = [];
    const fleet = new TestUtils.TestFleet({
      workers: [1, 1, 1, 1],
      logOf: () => new TestUtils.RecordingLog(messages),
    });
    crashTasks(fleet);
    await fleet.start();
    await fleet.submit("node-1", CRASHING_ID);
    await fleet.until(isFailed(fleet), TIMEOUT_MS);
    const lines = messages.filter((line) =>
      line.startsWith(`Given up ${TASK}:`)
    );
    vitest.expect(lines).toEqual(
      fleet.workers.runsOf(TASK).map(({ run, worker }) =>
        `Given up ${TASK}: run ${run} on ${worker} ended as crashed: its ` +
        "endpoint was shown to have ended while the run was under way. " +
        "It counts as a crash laid to the task."
      ),
    );
    await fleet.stop();
  });

  vitest.it("by an earlier version is reported without runs", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    crashTasks(fleet);
    await fleet.start();
    await fleet.submit("node-1", CRASHING_ID);
    await fleet.until(isFailed(fleet), TIMEOUT_MS);
    await fleet.clock.advance(1000);
    const [row] = fleet.table.rowsUnder("progress:")
      .filter(({ key }) => key.endsWith(`/${CRASHING_ID}`));
    const record = JSON.parse(JSON.stringify(row.value));
    delete record.giveUp.history;
    for (const name of [...fleet.boxes.keys()]) await fleet.kill(name);
    fleet.write(row.key, record);
    fleet.startBox("node-4");
    await fleet.clock.advance(10_000);
    const report = await readReport(fleet);
    vitest.expect(report?.state).toBe(Workflow.WorkflowState.Failed);
    vitest.expect(report?.giveUp).toMatchObject({ task: TASK, runs: null });
    await fleet.stop();
  });
});

vitest.describe("a run on an unreachable, unlisted endpoint", () => {
  vitest.it("has one history entry, also after a takeover", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1] });
    fleet.workers.behave = () => ({ runMs: 2 * TIMEOUT_MS, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 2 * TIMEOUT_MS })];
    await fleet.submit("node-1", CRASHING_ID, { steps });
    await fleet.until(() => fleet.workers.runs.length === 1);
    const [{ worker: lost }] = fleet.workers.runs;
    fleet.workers.decideOutcome = (endpoint) =>
      endpoint === lost
        ? StandIns.OrderOutcome.Lost
        : StandIns.OrderOutcome.Delivered;
    // An endpoint that is unlisted without prior silence counts as having left.
    await fleet.clock.advance(ENTRY_EXPIRY_MS);
    fleet.unlist(lost);
    await fleet.clock.advance(TIMEOUT_MS / 2);
    const coordinator = fleet.coordinator() ?? "";
    await fleet.kill(coordinator);
    fleet.startBox(`${coordinator}+`);
    await fleet.clock.advance(TIMEOUT_MS / 2);
    const [row] = fleet.table.rowsUnder("progress:")
      .filter(({ key }) => key.endsWith(`/${CRASHING_ID}`));
    const { histories } = row.value as Workflow.ProgressRecord;
    const { Unlisted: NotListed } = Workflow.RunEvidence;
    vitest.expect(histories?.["0.0.0"].runs).toEqual([
      [
        1,
        lost,
        Workflow.RunEnd.Lost,
        NotListed,
        Workflow.CountedAs.Nothing,
      ],
    ]);
    await fleet.stop();
  });
});

vitest.describe("a workflow that was not given up", () => {
  vitest.it("is reported with its state only", async () => {
    const fleet = new TestUtils.TestFleet();
    await fleet.start();
    vitest.expect(await readReport(fleet)).toBeNull();
    await fleet.submit("node-1", CRASHING_ID);
    const completed = Workflow.WorkflowState.Completed;
    await fleet.until(() => fleet.state(CRASHING_ID) === completed);
    vitest.expect(await readReport(fleet)).toEqual({
      id: CRASHING_ID,
      state: completed,
      giveUp: null,
    });
    await fleet.stop();
  });
});
