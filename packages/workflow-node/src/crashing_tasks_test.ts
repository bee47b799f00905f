/** Tasks that crash the endpoints on which they start are given up. */
import * as StandIns from "@cairngate/stand-ins";
import * as TestUtils from "@cairngate/test-utils";
import * as Workflow from "@cairngate/workflow";
import * as vitest from "vitest";

const CRASHING_ID = "c000000000000001";
/** Time from start to crash, in ms, as in the users' record of such a task. */
const CRASH_DELAY_MS = 10;
const TIMEOUT_MS = 60_000;
/** Crashes of a task after which the users' rule limits its starts. */
const CRASH_THRESHOLD = 3;
/** Starts after that crash that violate the users' rule. */
const EXCESSIVE_STARTS = 3;

/** Makes these tasks crash every endpoint that starts them. */
function crashTasks(
  fleet: TestUtils.TestFleet,
  isCrashing: (task: string) => boolean,
  crashesAfterMs = CRASH_DELAY_MS,
): void {
  fleet.workers.behave = (task) =>
    isCrashing(task)
      ? { runMs: 60_000, fails: false, crashesAfterMs }
      : { runMs: 1000, fails: false };
}

/** Counts the starts of a task after its third crash. */
function countStartsAfterCrashes(
  fleet: TestUtils.TestFleet,
  task: string,
): number {
  const runs = fleet.workers.runsOf(task);
  const crashes = runs.filter(({ how }) => how === "crashed")
    .map(({ endedAtMs }) => endedAtMs ?? 0)
    .sort((a, b) => a - b);
  if (crashes.length < CRASH_THRESHOLD) return 0;
  const thirdAtMs = crashes[CRASH_THRESHOLD - 1];
  return runs.filter(isAfter(thirdAtMs)).length;
}

function isAfter(atMs: number) {
  return (record: StandIns.TaskRunRecord) => record.startedAtMs > atMs;
}

/** Returns the tasks that were started too often after their third crash. */
function findExcessivelyStarted(fleet: TestUtils.TestFleet): string[] {
  const names = new Set(fleet.workers.runs.map(({ task }) => task));
  return [...names].filter((task) =>
    countStartsAfterCrashes(fleet, task) >= EXCESSIVE_STARTS
  );
}

function hasState(
  fleet: TestUtils.TestFleet,
  id: string,
  state: Workflow.WorkflowState,
): () => boolean {
  return () => fleet.state(id) === state;
}

const { Failed, Completed } = Workflow.WorkflowState;

vitest.describe("a task that crashes its endpoints", () => {
  vitest.it("is given up after three crashes", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    crashTasks(fleet, (task) => task.startsWith(CRASHING_ID));
    await fleet.start();
    await fleet.submit("node-1", CRASHING_ID);
    const isGivenUp = await fleet.until(
      hasState(fleet, CRASHING_ID, Failed),
      TIMEOUT_MS,
    );
    await fleet.clock.advance(TIMEOUT_MS / 2);
    vitest.expect(countStartsAfterCrashes(fleet, `${CRASHING_ID}.0.0.0`))
      .toBeLessThan(EXCESSIVE_STARTS);
    vitest.expect(isGivenUp).toBe(true);
    await fleet.stop();
  });

  /** Times from start to crash, in ms; 0: before the start is answered. */
  for (const crashesAfterMs of [0, 400, 2500]) {
    vitest.it(`is given up, crashing after ${crashesAfterMs} ms`, async () => {
      const fleet = new TestUtils.TestFleet({ workers: [2, 2, 2, 2] });
      const isCrashing = (task: string) => task.startsWith(CRASHING_ID);
      crashTasks(fleet, isCrashing, crashesAfterMs);
      await fleet.start();
      await fleet.submit("node-1", CRASHING_ID);
      const isGivenUp = await fleet.until(
        hasState(fleet, CRASHING_ID, Failed),
        TIMEOUT_MS,
      );
      await fleet.clock.advance(TIMEOUT_MS / 2);
      vitest.expect(findExcessivelyStarted(fleet)).toEqual([]);
      vitest.expect(isGivenUp).toBe(true);
      await fleet.stop();
    });
  }

  vitest.it(
    "is given up even if coordinators change between crashes",
    async () => {
      const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
      crashTasks(fleet, (task) => task.startsWith(CRASHING_ID));
      await fleet.start();
      await fleet.submit("node-1", CRASHING_ID);
      for (let i = 1; i <= 6; i++) {
        await fleet.until(() => fleet.workers.runs.length >= i, 30_000);
        await fleet.clock.advance(CRASH_DELAY_MS * 2);
        const coordinator = fleet.coordinator();
        if (coordinator !== null && fleet.boxes.has(coordinator)) {
          await fleet.kill(coordinator);
          fleet.startBox(`${coordinator}+`);
        }
      }
      const isGivenUp = await fleet.until(
        hasState(fleet, CRASHING_ID, Failed),
        TIMEOUT_MS,
      );
      vitest.expect(findExcessivelyStarted(fleet)).toEqual([]);
      vitest.expect(isGivenUp).toBe(true);
      await fleet.stop();
    },
  );

  vitest.it("is given up as a member of a gang", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1, 1, 1] });
    const crashingTask = `${CRASHING_ID}.0.0.1`;
    crashTasks(fleet, (task) => task === crashingTask);
    await fleet.start();
    const steps = [TestUtils.buildStep({ count: 3, gang: true })];
    await fleet.submit("node-1", CRASHING_ID, { steps });
    const handled = new Set<StandIns.TaskRunRecord>();
    for (let ms = 0; ms < TIMEOUT_MS; ms += CRASH_DELAY_MS) {
      await fleet.clock.advance(CRASH_DELAY_MS);
      for (const record of fleet.workers.runsOf(crashingTask)) {
        if (record.how !== "crashed" || handled.has(record)) continue;
        handled.add(record);
        fleet.workers.endNow(`${CRASHING_ID}.0.0.0`, "broken");
        fleet.workers.endNow(`${CRASHING_ID}.0.0.2`, "broken");
      }
    }
    vitest.expect(findExcessivelyStarted(fleet)).toEqual([]);
    vitest.expect(fleet.state(CRASHING_ID)).toBe(Failed);
    await fleet.stop();
  });

  vitest.it("is given up even if it is a lasting task", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    crashTasks(fleet, (task) => task.startsWith(CRASHING_ID));
    await fleet.start();
    const steps = [TestUtils.buildStep({ lasting: true })];
    await fleet.submit("node-1", CRASHING_ID, { steps });
    const isGivenUp = await fleet.until(
      hasState(fleet, CRASHING_ID, Failed),
      TIMEOUT_MS,
    );
    vitest.expect(findExcessivelyStarted(fleet)).toEqual([]);
    vitest.expect(isGivenUp).toBe(true);
    await fleet.stop();
  });

  vitest.it("stays given up after a restart of all boxes", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    crashTasks(fleet, (task) => task.startsWith(CRASHING_ID));
    await fleet.start();
    await fleet.submit("node-1", CRASHING_ID);
    await fleet.until(hasState(fleet, CRASHING_ID, Failed), TIMEOUT_MS);
    const started = fleet.workers.runs.length;
    for (const name of [...fleet.boxes.keys()]) await fleet.kill(name);
    for (const name of ["node-4", "node-5"]) fleet.startBox(name);
    await fleet.clock.advance(10_000);
    await fleet.submit("node-4", CRASHING_ID);
    await fleet.clock.advance(10_000);
    vitest.expect(fleet.workers.runs.length).toBe(started);
    vitest.expect(await fleet.requestState("node-5", CRASHING_ID)).toBe(Failed);
    await fleet.stop();
  });

  vitest.it("hits few other tasks on its endpoints", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [4, 4, 4, 4, 4, 4] });
    const badIds = [1, 2].map((i) => `c00000000000000${i}`);
    crashTasks(fleet, (task) => task.startsWith("c"));
    await fleet.start();
    const goodIds = Array.from(
      { length: 40 },
      (_, i) => `a${String(i).padStart(15, "0")}`,
    );
    for (const [i, id] of goodIds.entries()) {
      await fleet.submit("node-2", id);
      if (i === 10) {
        for (const badId of badIds) await fleet.submit("node-1", badId);
      }
    }
    const hasEnded = await fleet.until(
      () => goodIds.every((id) => fleet.state(id) === Completed),
      TIMEOUT_MS,
    );
    vitest.expect(hasEnded).toBe(true);
    await fleet.until(
      () => badIds.every((id) => fleet.state(id) === Failed),
      TIMEOUT_MS,
    );
    vitest.expect(findExcessivelyStarted(fleet)).toEqual([]);
    vitest.expect(badIds.map((id) => fleet.state(id))).toEqual([
      Failed,
      Failed,
    ]);
    const crashed = fleet.workers.runs.filter(({ task, how }) =>
      !task.startsWith("c") && how === "crashed"
    );
    // Only the first crash of each task hits others, at most three at a time.
    vitest.expect(crashed.length).toBeLessThanOrEqual(2 * 3);
    await fleet.stop();
  });
});

vitest.describe("a task without faults", () => {
  const ID = "a000000000000001";

  /** Crashes all endpoints at once, each time some time after the task started. */
  async function loseAllPower(
    fleet: TestUtils.TestFleet,
    times: number,
  ): Promise<void> {
    for (let i = 1; i <= times; i++) {
      const hasStarted = () => fleet.workers.runsOf(`${ID}.0.0.0`).length >= i;
      await fleet.until(hasStarted, 30_000);
      await fleet.clock.advance(700 * i);
      const endpointIds = new Set(fleet.workers.listRunning());
      for (const id of endpointIds) fleet.workers.crash(id);
    }
  }

  vitest.it("survives three power losses", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1] });
    fleet.workers.behave = () => ({ runMs: 3000, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID);
    await loseAllPower(fleet, 3);
    const isDone = await fleet.until(
      hasState(fleet, ID, Completed),
      TIMEOUT_MS,
    );
    vitest.expect(isDone).toBe(true);
    await fleet.stop();
  });

  vitest.it("survives four power losses among other work", async () => {
    const workers = Array.from({ length: 8 }, () => 1);
    const fleet = new TestUtils.TestFleet({ workers });
    fleet.workers.behave = () => ({ runMs: 4000, fails: false });
    await fleet.start();
    await fleet.submit("node-1", ID);
    for (let i = 2; i <= 8; i++) {
      await fleet.submit("node-1", `a00000000000000${i}`);
    }
    await loseAllPower(fleet, 4);
    const isDone = await fleet.until(
      hasState(fleet, ID, Completed),
      TIMEOUT_MS,
    );
    vitest.expect(isDone).toBe(true);
    await fleet.stop();
  });

  vitest.it("survives endpoints that become unreachable", async () => {
    const fleet = new TestUtils.TestFleet({ workers: [1, 1, 1, 1, 1, 1] });
    fleet.workers.behave = () => ({ runMs: 9000, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 9000 })];
    await fleet.submit("node-1", ID, { steps });
    const unreachable = new Set<string>();
    fleet.workers.decideOutcome = (endpoint) =>
      unreachable.has(endpoint)
        ? StandIns.OrderOutcome.Lost
        : StandIns.OrderOutcome.Delivered;
    for (let i = 1; i <= 4; i++) {
      await fleet.until(() => fleet.workers.runs.length >= i, 30_000);
      await fleet.clock.advance(500);
      unreachable.add(fleet.workers.runs[i - 1].worker);
    }
    const isDone = await fleet.until(
      hasState(fleet, ID, Completed),
      TIMEOUT_MS,
    );
    vitest.expect(isDone).toBe(true);
    await fleet.stop();
  });

  vitest.it("survives endpoints that leave after an announcement", async () => {
    const sizes = [1, 1, 1, 1, 1, 1];
    const fleet = new TestUtils.TestFleet({ workers: sizes });
    fleet.workers.behave = () => ({ runMs: 3000, fails: false });
    await fleet.start();
    const steps = [TestUtils.buildStep({ estimateMs: 3000 })];
    await fleet.submit("node-1", ID, { steps });
    for (let i = 1; i <= 5; i++) {
      await fleet.until(() => fleet.workers.runs.length >= i, 30_000);
      await fleet.clock.advance(300);
      const { worker: id } = fleet.workers.runs[i - 1];
      const index = fleet.indexOf(id);
      // The announcement is too short to move its runs in time.
      fleet.list({ id, accelerators: 1 }, index, { draining: true });
      await fleet.clock.advance(100);
      fleet.workers.crash(id);
    }
    const isDone = await fleet.until(
      hasState(fleet, ID, Completed),
      TIMEOUT_MS,
    );
    vitest.expect(isDone).toBe(true);
    await fleet.stop();
  });
});
