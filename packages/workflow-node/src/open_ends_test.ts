/**
 * Guards against delays and failures of tasks without faults whose endpoints leave,
 * become unreachable or crash: only crashes with evidence may count against a task.
 */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const ID = "a000000000000001";
const TASK = `${ID}.0.0.0`;
const { Failed } = Workflow.WorkflowState;
/** The longest lease and the time to detect its end, in ms. */
const MAX_RESTART_DELAY_MS = 8000;

function singleEndpoints(count: number): number[] {
  return Array.from({ length: count }, () => 1);
}

vitest.describe("a task without faults", () => {
  vitest.it(
    "is not delayed by endpoints that leave after an announcement",
    async () => {
      const fleet = new TestUtils.TestFleet({ workers: singleEndpoints(10) });
      fleet.workers.behave = () => ({ runMs: 60_000, fails: false });
      fleet.workers.onCrash = () => {};
      await fleet.start();
      const steps = [TestUtils.buildStep({ estimateMs: 60_000 })];
      await fleet.submit("node-1", ID, { steps });
      const waits: number[] = [];
      for (let i = 1; i <= 8; i++) {
        await fleet.until(() => fleet.workers.runs.length >= i, 60_000);
        const previousEndAtMs = fleet.workers.runs[i - 2]?.endedAtMs ?? null;
        if (previousEndAtMs !== null) {
          waits.push(fleet.workers.runs[i - 1].startedAtMs - previousEndAtMs);
        }
        await fleet.clock.advance(300);
        const { worker: id } = fleet.workers.runs[i - 1];
        fleet.list({ id, accelerators: 1 }, fleet.indexOf(id), {
          draining: true,
        });
        await fleet.clock.advance(100);
        fleet.workers.crash(id);
        fleet.unlist(id);
        await fleet.clock.advance(100);
      }
      vitest.expect(waits.filter((ms) => ms > MAX_RESTART_DELAY_MS)).toEqual(
        [],
      );
      await fleet.stop();
    },
  );

  vitest.it("that lasts is not delayed by losses minutes apart", async () => {
    const fleet = new TestUtils.TestFleet({ workers: singleEndpoints(10) });
    fleet.workers.behave = () => ({ runMs: 1e9, fails: false });
    fleet.workers.onCrash = () => {};
    await fleet.start();
    const steps = [TestUtils.buildStep({ lasting: true })];
    await fleet.submit("node-1", ID, { steps });
    const waits: number[] = [];
    for (let i = 1; i <= 7; i++) {
      await fleet.until(() => fleet.workers.runs.length >= i, 90_000);
      const previousEndAtMs = fleet.workers.runs[i - 2]?.endedAtMs ?? null;
      if (previousEndAtMs !== null) {
        waits.push(fleet.workers.runs[i - 1].startedAtMs - previousEndAtMs);
      }
      await fleet.clock.advance(31_000);
      const { worker: id } = fleet.workers.runs[i - 1];
      fleet.workers.crash(id);
      await fleet.clock.advance(4500);
      fleet.unlist(id);
    }
    vitest.expect(waits.filter((ms) => ms > MAX_RESTART_DELAY_MS)).toEqual([]);
    await fleet.stop();
  });

  /**
   * A poll that is pending when its endpoint is treated as gone, and then fails, must
   * not remove the open end of the run: only an answer of the endpoint may.
   */
  vitest.it("keeps open ends until its endpoints answer", async () => {
    const fleet = new TestUtils.TestFleet({ workers: singleEndpoints(8) });
    const unreachable = new Set<string>();
    fleet.workers.behave = () => ({ runMs: 60_000, fails: false });
    fleet.workers.decideOutcome = (endpoint) =>
      unreachable.has(endpoint)
        ? StandIns.OrderOutcome.Silent
        : StandIns.OrderOutcome.Delivered;
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 60_000 })];
    await fleet.submit("node-1", ID, { steps });
    for (let i = 1; i <= 3; i++) {
      await fleet.until(() => fleet.workers.runs.length >= i, 60_000);
      const { worker } = fleet.workers.runs[i - 1];
      await fleet.clock.advance(20);
      unreachable.add(worker);
      // An endpoint that is unlisted while it answers has left: no open end.
      await fleet.clock.advance(3000);
      fleet.unlist(worker);
    }
    await fleet.clock.advance(12_000);
    const [row] = fleet.table.rowsUnder("progress:")
      .filter(({ key }) => key.endsWith(`/${ID}`));
    const { openEnds } = row.value as Workflow.ProgressRecord;
    vitest.expect(fleet.workers.runs.length).toBe(4);
    vitest.expect((openEnds ?? []).map(([, run, , , isGone]) => [run, isGone]))
      .toEqual([[1, true], [2, true], [3, true]]);
    await fleet.stop();
  });

  /**
   * A start is recorded before its order is sent. A coordinator that ends in between
   * leaves the record of a run that never started.
   */
  vitest.it("does not fail by starts that were only recorded", async () => {
    const fleet = new TestUtils.TestFleet({
      workers: singleEndpoints(6),
      boxes: 4,
    });
    fleet.workers.behave = () => ({ runMs: 60_000, fails: false });
    fleet.restartDelayMs = 1000;
    fleet.entryOverlapMs = 3000;
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 60_000 })];
    await fleet.submit("node-1", ID, { steps });
    await fleet.until(() => fleet.workers.runs.length >= 1);
    await fleet.clock.advance(500);
    // The only crash with evidence.
    const crashedEndpoint = fleet.workers.runs[0].worker;
    // The endpoints of later records crash as well, without having got a start.
    const readAssignment = () => {
      const [row] = fleet.table.rowsUnder("progress:")
        .filter(({ key }) => key.endsWith(`/${ID}`));
      const record = row?.value as Workflow.ProgressRecord | undefined;
      const entry = record?.tasks["0.0.0"];
      if (record === undefined || entry === undefined || entry[1] < 0) {
        return null;
      }
      return { run: entry[0], worker: record.workers[entry[1]] };
    };
    fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
    fleet.workers.crash(crashedEndpoint);
    let run = 1;
    for (let i = 0; i < 3; i++) {
      // No start is delivered until the coordinator has been replaced.
      fleet.workers.decideOutcome = (_, order) =>
        order === "start"
          ? StandIns.OrderOutcome.Lost
          : StandIns.OrderOutcome.Delivered;
      const isFound = await fleet.until(
        () => (readAssignment()?.run ?? 0) > run,
        30_000,
      );
      if (!isFound || fleet.state(ID) === Failed) break;
      const assignment = readAssignment();
      if (assignment === null) break;
      ({ run } = assignment);
      fleet.workers.crash(assignment.worker);
      const coordinator = fleet.coordinator() ?? "";
      await fleet.kill(coordinator);
      fleet.startBox(`${coordinator}+`);
      await fleet.clock.advance(4000);
    }
    fleet.workers.decideOutcome = () => StandIns.OrderOutcome.Delivered;
    await fleet.clock.advance(10_000);
    const crashed = fleet.workers.runsOf(TASK).filter(({ how }) =>
      how === "crashed"
    );
    vitest.expect(crashed.length).toBe(1);
    vitest.expect(TestUtils.checkFailedWorkflow(fleet, ID)).toEqual([]);
    await fleet.stop();
  });
});
