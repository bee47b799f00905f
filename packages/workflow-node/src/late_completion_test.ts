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
/** Longer than the test, in ms. */
const NEVER_MS = 600_000;
/** Delivery delay of a late order, in ms; matches `LATE_MS` of the stand-in. */
const LATE_START_DELAY_MS = 2500;
const RUN_MS = 500;
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
    workers: [1],
    config: TestUtils.buildAccessWithAttempts(attempts),
  });
  const { workers, clock } = fleet;
  fleet.keepsIds = true;
  fleet.restartDelayMs = NEVER_MS;
  workers.behave = () => ({ runMs: RUN_MS, fails });
  await fleet.start();
  let firstSentAtMs: number | null = null;
  let starts = 0;
  workers.decideOutcome = (_, order) => {
    if (order !== "start") return Delivered;
    firstSentAtMs ??= clock.monotonicMs();
    return starts++ < FIRST_RUN_TRIES ? Late : Lost;
  };
  await fleet.submit("node-1", ID, {
    steps: [TestUtils.buildStep({ estimateMs: RUN_MS })],
  });
  await fleet.until(() => starts > FIRST_RUN_TRIES);
  workers.crash("worker-0");
  workers.decideOutcome = () => Lost;
  fleet.restartUnderSameId({ id: "worker-0", accelerators: 1 });
  const deliveredAtMs = (firstSentAtMs ?? 0) + LATE_START_DELAY_MS;
  await clock.advance(deliveredAtMs + 2 * RUN_MS - clock.monotonicMs());
  vitest.expect(workers.runsOf(TASK).length).toBe(1);
  workers.decideOutcome = () => Delivered;
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
