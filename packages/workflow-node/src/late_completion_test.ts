/**
 * Guards against repeating completed work, and against starts beyond the attempts, when
 * an endpoint reports how a run ended after the coordinator has treated it as lost.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const TASK = `${ID}.0.0.0`;
/** Workflows that leave room for one more task. */
const NEIGHBOUR_IDS: readonly string[] = [
  "a000000000000002",
  "a000000000000003",
];
/** Longer than the test, in ms. */
const NEVER_MS = 600_000;
/** Delivery delay of a late start, in ms; shorter than the lease that it carries. */
const LATE_START_DELAY_MS = 650;
/** Run time that the lease of a late start covers, in ms. */
const RUN_MS = 100;
/** Time in which every run that is started has failed, in ms. */
const SETTLE_MS = 20_000;
/** Attempts to send the start of run 1; the next start sent is that of run 2. */
const FIRST_RUN_TRIES = 2;

const { Delivered, Late, Lost } = StandIns.OrderOutcome;

/**
 * Runs a task whose first start is delivered late, to an endpoint that has restarted
 * and is unreachable until the run has ended.
 */
async function runLate(
  { fails, attempts }: { fails: boolean; attempts: number },
): Promise<TestUtils.TestFleet> {
  const fleet = new TestUtils.TestFleet({
    workers: [2, 1],
    config: TestUtils.buildAccessWithAttempts(attempts),
  });
  const { workers, clock } = fleet;
  workers.lateMs = LATE_START_DELAY_MS;
  fleet.keepsIds = true;
  fleet.restartDelayMs = NEVER_MS;
  workers.behave = (task) =>
    task === TASK
      ? { runMs: RUN_MS, fails }
      : { runMs: NEVER_MS, fails: false };
  await fleet.start();
  for (const id of NEIGHBOUR_IDS) await fleet.submit("node-1", id);
  await fleet.until(() => workers.runs.length === NEIGHBOUR_IDS.length);
  const starts: { endpoint: string; sentAtMs: number }[] = [];
  let isStopped = false;
  workers.decideOutcome = (endpoint, order) => {
    isStopped ||= order === "stop";
    if (order !== "start") return Delivered;
    starts.push({ endpoint, sentAtMs: clock.monotonicMs() });
    return starts.length <= FIRST_RUN_TRIES ? Late : Lost;
  };
  await fleet.submit("node-1", ID, {
    steps: [TestUtils.buildStep({ estimateMs: RUN_MS })],
  });
  await fleet.until(() => isStopped);
  // An end completes the open poll; the next one shows that run 1 is not there.
  for (const id of NEIGHBOUR_IDS) workers.endNow(`${id}.0.0.0`, "done");
  await fleet.until(() => starts.length > FIRST_RUN_TRIES);
  const [{ endpoint: id, sentAtMs }] = starts;
  workers.crash(id);
  workers.decideOutcome = () => Lost;
  fleet.restartUnderSameId({ id, accelerators: 1 });
  const deliveredAtMs = sentAtMs + LATE_START_DELAY_MS;
  await clock.advance(deliveredAtMs + 2 * RUN_MS - clock.monotonicMs());
  vitest.expect(workers.runsOf(TASK).length).toBe(1);
  workers.decideOutcome = (endpoint) => endpoint === id ? Delivered : Lost;
  return fleet;
}

vitest.describe("a run that was treated as lost", () => {
  vitest.it("is not repeated if it is later reported as done", async () => {
    const fleet = await runLate({ fails: false, attempts: 3 });
    const { workers, clock } = fleet;
    const isCompleted = () =>
      fleet.state(ID) === Workflow.WorkflowState.Completed;
    vitest.expect(await fleet.until(isCompleted)).toBe(true);
    await clock.advance(2 * RUN_MS);
    vitest.expect(workers.runsOf(TASK).length).toBe(1);
    vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
    await fleet.stop();
  });

  vitest.it(
    "uses up an attempt if it is later reported as failed",
    async () => {
      const fleet = await runLate({ fails: true, attempts: 2 });
      await fleet.clock.advance(SETTLE_MS);
      vitest.expect(TestUtils.findRunViolations(fleet)).toEqual([]);
      vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Failed);
      vitest.expect(fleet.workers.runsOf(TASK).length).toBe(2);
      await fleet.stop();
    },
  );
});

vitest.describe("a failure that two coordinators are told of", () => {
  vitest.it("uses up one attempt", async () => {
    const fleet = new TestUtils.TestFleet({
      workers: [1],
      config: TestUtils.buildAccessWithAttempts(2),
    });
    fleet.workers.behave = () => ({ runMs: RUN_MS, fails: true });
    await fleet.start();
    const former = fleet.coordinator() ?? "";
    // The first coordinator records the failure and can't acknowledge it.
    const isRecorded = () => readFailures(fleet) === 1;
    fleet.workers.decideOutcome = (_, order) =>
      order === "renew" && isRecorded() && fleet.boxes.has(former)
        ? Lost
        : Delivered;
    await fleet.submit("node-1", ID, { steps: [TestUtils.buildStep()] });
    vitest.expect(await fleet.until(isRecorded)).toBe(true);
    await fleet.kill(former);
    await fleet.clock.advance(SETTLE_MS);
    vitest.expect(fleet.workers.runsOf(TASK).length).toBe(2);
    vitest.expect(fleet.state(ID)).toBe(Workflow.WorkflowState.Failed);
    await fleet.stop();
  });
});

/** Failures of the task that its record names; 0 if there is no record. */
function readFailures(fleet: TestUtils.TestFleet): number {
  const [row] = fleet.table.rowsUnder("progress:")
    .filter(({ key }) => key.endsWith(`/${ID}`));
  const record = row?.value as Workflow.ProgressRecord | undefined;
  return record?.tasks["0.0.0"]?.[2] ?? 0;
}
